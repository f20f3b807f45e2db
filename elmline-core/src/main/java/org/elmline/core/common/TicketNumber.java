package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Number that an operator assigns to a change ticket; a higher number is newer. */
public record TicketNumber(@JsonValue long value) implements Comparable<TicketNumber> {
    public TicketNumber {
        if (value < 0) {
            throw new IllegalArgumentException("ticket number must not be negative: " + value);
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static TicketNumber of(long value) {
        return new TicketNumber(value);
    }

    @Override
    public int compareTo(TicketNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
