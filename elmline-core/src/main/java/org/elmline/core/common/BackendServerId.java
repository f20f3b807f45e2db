package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name under which a backend server announces itself; unchanged by a restart, which raises the {@link Incarnation}. */
public record BackendServerId(@JsonValue String value) implements Comparable<BackendServerId> {
    public BackendServerId {
        IdFormat.requireValid("backend server id", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static BackendServerId of(String value) {
        return new BackendServerId(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BackendServerId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
