package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;

/** Writes a record as an object with one field for each component that is not null. */
final class RecordShape implements Shape {
    private final Constructor<?> constructor;
    private final Method[] accessors;
    private final String[] names;
    private final Shape[] shapes;
    private final Map<String, Integer> positions = new HashMap<>();
    private final boolean strict;

    /** @param strict whether a null, or a field that the record doesn't have, is an error */
    RecordShape(Constructor<?> constructor, Method[] accessors, Shape[] shapes, boolean strict) {
        this.constructor = constructor;
        this.accessors = accessors;
        this.shapes = shapes;
        this.strict = strict;
        this.names = new String[accessors.length];
        for (int i = 0; i < accessors.length; i++) {
            names[i] = accessors[i].getName();
            positions.put(names[i], i);
        }
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        write(to, value, null, null);
    }

    /** Writes the record with a text field before its own fields, or without one when {@code firstName} is null. */
    void write(JsonGenerator to, Object value, String firstName, String firstText) throws IOException {
        Object[] components = components(value);
        int count = firstName == null ? 0 : 1;
        for (Object each : components) {
            count += each == null ? 0 : 1;
        }
        to.writeStartObject(value, count);
        if (firstName != null) {
            to.writeStringField(firstName, firstText);
        }
        for (int i = 0; i < components.length; i++) {
            if (components[i] != null) {
                to.writeFieldName(names[i]);
                shapes[i].write(to, components[i]);
            }
        }
        to.writeEndObject();
    }

    private Object[] components(Object value) {
        Object[] components = new Object[accessors.length];
        try {
            for (int i = 0; i < accessors.length; i++) {
                components[i] = accessors[i].invoke(value);
            }
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot read the components of record " + value.getClass(), e);
        }
        return components;
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        if (from.currentToken() != JsonToken.START_OBJECT) {
            throw new MismatchException(from.currentToken() + " found where a record was expected");
        }
        return readFields(from);
    }

    /** Reads the remaining fields of an object. The parser is positioned before the first of them. */
    Object readFields(JsonParser from) throws IOException {
        Object[] components = new Object[names.length];
        JsonStreamContext object = from.getParsingContext();
        while (from.nextToken() != JsonToken.END_OBJECT) {
            Integer position = positions.get(from.currentName());
            JsonToken token = from.nextToken();
            if (position != null) {
                boolean acceptedNull = token == JsonToken.VALUE_NULL && !strict;
                components[position] = acceptedNull ? null : shapes[position].readComponent(from, object);
            } else if (strict) {
                throw new MismatchException("unknown field");
            } else {
                from.skipChildren();
            }
        }
        for (int i = 0; i < components.length; i++) {
            components[i] = components[i] == null ? shapes[i].absentValue() : components[i];
        }
        return construct(components);
    }

    private Object construct(Object[] components) throws MismatchException {
        try {
            return constructor.newInstance(components);
        } catch (InvocationTargetException e) {
            throw new MismatchException(String.valueOf(e.getCause()));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot invoke the constructor of a record: " + constructor, e);
        }
    }
}
