package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of a group of failure domains that are close to each other. */
public record Region(@JsonValue String value) implements Comparable<Region> {
    public Region {
        IdFormat.requireValid("region", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Region of(String value) {
        return new Region(value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Region that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
