package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;

/** A type that is written as one text or number, such as an id. */
final class ValueShape implements Shape {
    private final Method value;
    private final Method factory;
    private final Shape inner;

    /**
     * @param value accessor of the text or number that is written
     * @param factory static method that creates an instance from it
     */
    ValueShape(Method value, Method factory, Shape inner) {
        this.value = value;
        this.factory = factory;
        this.inner = inner;
    }

    @Override
    public void write(JsonGenerator to, Object instance) throws IOException {
        try {
            inner.write(to, value.invoke(instance));
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot invoke the accessor of a value: " + value, e);
        }
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        try {
            return factory.invoke(null, inner.read(from));
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new MismatchException(String.valueOf(e.getCause()));
        }
    }
}
