package org.elmline.daemon.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** A key. Its text form hides the value, so that settings can be logged. */
public record Secret(@JsonValue String value) {
    /** Placeholder for a key file that was not read, see {@link KeyFileMode#SKIP}. */
    static final String NOT_READ = "(key file not read)";

    public Secret {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException("empty key");
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Secret of(String value) {
        return new Secret(value);
    }

    @Override
    public String toString() {
        return "(hidden)";
    }
}
