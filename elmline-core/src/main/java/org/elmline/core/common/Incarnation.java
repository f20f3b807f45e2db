package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number that increases with each start of a host or backend server under the same id. The highest incarnation replaces
 * all lower ones.
 */
public record Incarnation(@JsonValue long value) implements Comparable<Incarnation> {
    public Incarnation {
        if (value < 0) {
            throw new IllegalArgumentException("incarnation must not be negative: " + value);
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
