package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of a set of hosts that can be lost together (power, switch, building). */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    public FailureDomain {
        IdFormat.requireValid("failure domain", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
