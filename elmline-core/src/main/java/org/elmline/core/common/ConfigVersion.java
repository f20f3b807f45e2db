package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Position in the sequence of accepted configuration changes, starting at 0 for the empty configuration. */
public record ConfigVersion(@JsonValue long value) implements Comparable<ConfigVersion> {
    public ConfigVersion {
        if (value < 0) {
            throw new IllegalArgumentException("configuration version must not be negative: " + value);
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ConfigVersion of(long value) {
        return new ConfigVersion(value);
    }

    @Override
    public int compareTo(ConfigVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
