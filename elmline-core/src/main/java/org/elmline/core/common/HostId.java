package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of a host that runs an elmline process, from its settings; unique in a deployment. */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    public HostId {
        IdFormat.requireValid("host id", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HostId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
