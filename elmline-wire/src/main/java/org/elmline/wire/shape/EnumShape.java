package org.elmline.wire.shape;

import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;

/** Writes constants of an enum by their names on the wire. */
final class EnumShape implements Shape {
    private final Map<String, Object> byName = new HashMap<>();
    private final String[] names;

    EnumShape(Class<?> type) {
        Object[] constants = type.getEnumConstants();
        names = new String[constants.length];
        for (Object each : constants) {
            Enum<?> constant = (Enum<?>) each;
            String name = name(type, constant);
            names[constant.ordinal()] = name;
            byName.put(name, constant);
        }
    }

    private static String name(Class<?> type, Enum<?> constant) {
        if (AnnotatedTypes.LOWER_CASE_ENUMS.contains(type)) {
            return constant.name().toLowerCase(Locale.ROOT);
        }
        try {
            JsonProperty annotation = type.getField(constant.name()).getAnnotation(JsonProperty.class);
            return annotation == null ? constant.name() : annotation.value();
        } catch (NoSuchFieldException e) {
            throw new IllegalStateException("enum type has no field for one of its constants", e);
        }
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        to.writeString(names[((Enum<?>) value).ordinal()]);
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        Object constant = byName.get((String) ScalarShape.TEXT.read(from));
        if (constant == null) {
            throw new MismatchException("no constant " + from.getText());
        }
        return constant;
    }
}
