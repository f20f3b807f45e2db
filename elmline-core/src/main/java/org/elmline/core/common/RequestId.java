package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identity of one caller's request in all processes that handle it. */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    public RequestId {
        IdFormat.requireValid("request id", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
