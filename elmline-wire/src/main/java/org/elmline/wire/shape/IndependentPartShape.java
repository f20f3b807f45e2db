package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.Type;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;

/** A component of a record that the other components do not depend on: one that can't be used is logged and null. */
final class IndependentPartShape implements Shape {
    private final Type type;
    private final Shape part;

    IndependentPartShape(Type type, Shape part) {
        this.type = type;
        this.part = part;
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        part.write(to, value);
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        return part.read(from);
    }

    @Override
    public Object readComponent(JsonParser from, JsonStreamContext object) throws IOException {
        try {
            return part.read(from);
        } catch (IOException | RuntimeException e) {
            UnusableValue.skip(from, object);
            UnusableValue.log(type, e);
            return null;
        }
    }
}
