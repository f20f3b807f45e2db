package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identity of one attempt to run a request on one backend server. Pieces of the output carry it, so that a late piece
 * of another attempt is dropped.
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {
    public AttemptId {
        IdFormat.requireValid("attempt id", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
