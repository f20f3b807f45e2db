package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number that increases with each control leader. An order with a lower number than an earlier one is from a deposed
 * leader.
 */
public record FencingNumber(@JsonValue long value) implements Comparable<FencingNumber> {
    public FencingNumber {
        if (value < 0) {
            throw new IllegalArgumentException("fencing number must not be negative: " + value);
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static FencingNumber of(long value) {
        return new FencingNumber(value);
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
