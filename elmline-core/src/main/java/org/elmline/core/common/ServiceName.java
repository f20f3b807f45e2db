package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of a plain service to which elmline forwards calls. */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    public ServiceName {
        IdFormat.requireValid("service name", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
