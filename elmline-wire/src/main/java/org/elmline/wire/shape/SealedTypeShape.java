package org.elmline.wire.shape;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Writes the records of a sealed type with their type name in the first field. The shape of each record type is created
 * when it first occurs.
 */
final class SealedTypeShape implements Shape {
    private final String field;
    private final Shapes shapes;
    private final Map<Class<?>, String> names = new HashMap<>();
    private final Map<String, Class<?>> types = new HashMap<>();
    private final Map<Class<?>, RecordShape> shapesByType = new ConcurrentHashMap<>();

    /** @param field name of the first field, which holds the type name */
    SealedTypeShape(String field, Shapes shapes) {
        this.field = field;
        this.shapes = shapes;
    }

    void add(Class<?> type, String name) {
        names.put(type, name);
        types.put(name, type);
    }

    private RecordShape shape(Class<?> type) {
        RecordShape cached = shapesByType.get(type);
        if (cached != null) {
            return cached;
        }
        RecordShape shape = shapes.record(type);
        shapesByType.put(type, shape);
        return shape;
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        Class<?> type = value.getClass();
        shape(type).write(to, value, field, names.get(type));
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        boolean hasTypeName = from.currentToken() == JsonToken.START_OBJECT
                && field.equals(from.nextFieldName())
                && from.nextToken() == JsonToken.VALUE_STRING;
        Class<?> type = hasTypeName ? types.get(from.getText()) : null;
        if (type == null) {
            throw new MismatchException("no known case in the first field");
        }
        return shape(type).readFields(from);
    }
}
