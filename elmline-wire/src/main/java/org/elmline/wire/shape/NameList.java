package org.elmline.wire.shape;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names in a document of settings, given as a list of texts or as an object whose keys are the names. The values of
 * such an object are ignored.
 */
public record NameList(@JsonValue List<String> names) {
    public static final NameList EMPTY = new NameList(List.of());

    public NameList {
        names = List.copyOf(names);
    }

    /**
     * Reads the names from decoded JSON.
     *
     * @throws IllegalArgumentException if it is neither a list of texts nor an object
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static NameList of(Object decoded) {
        List<String> names = new ArrayList<>();
        if (decoded instanceof Map<?, ?> object) {
            object.keySet().forEach(each -> names.add((String) each));
        } else if (decoded instanceof List<?> list && list.stream().allMatch(String.class::isInstance)) {
            list.forEach(each -> names.add((String) each));
        } else {
            throw new IllegalArgumentException("names must be a list of texts, or an object with the names as keys");
        }
        return new NameList(names);
    }
}
