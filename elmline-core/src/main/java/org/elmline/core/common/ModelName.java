package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name by which callers request a served model. */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {
    public ModelName {
        IdFormat.requireValid("model name", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
