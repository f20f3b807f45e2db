package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A hybrid logical time in one 64-bit number: milliseconds in the upper 48 bits, a counter in the lower 16. The counter
 * orders events within one millisecond and overflows into the milliseconds.
 *
 * <p>Source: "In-depth Analysis on HLC-based Distributed Transaction Processing", sections 1.5 and 2.3; the paper uses
 * 43 bits for the wall clock and reserves some.
 */
public record HybridTime(@JsonValue long value) implements Comparable<HybridTime> {
    static final int COUNTER_BITS = 16;
    private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

    public HybridTime {
        if (value < 0) {
            throw new IllegalArgumentException("hybrid time must not be negative: " + value);
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static HybridTime of(long value) {
        return new HybridTime(value);
    }

    static HybridTime of(long millis, int counter) {
        return new HybridTime(millis << COUNTER_BITS | counter);
    }

    /** Milliseconds since 1970, close to the wall clock of the process whose clock is furthest ahead. */
    public long millis() {
        return value >>> COUNTER_BITS;
    }

    public int counter() {
        return (int) (value & COUNTER_MASK);
    }

    @Override
    public int compareTo(HybridTime other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return millis() + "." + counter();
    }
}
