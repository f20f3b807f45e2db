package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;

/** Lists of values that are independent of each other: an item that can't be used is logged and skipped. */
final class IndependentItemsShape implements Shape {
    private final Type type;
    private final Shape element;
    private final ListShape list;

    IndependentItemsShape(Type type, Shape element) {
        this.type = type;
        this.element = element;
        this.list = new ListShape(element);
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        list.write(to, value);
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        if (from.currentToken() != JsonToken.START_ARRAY) {
            throw new MismatchException(from.currentToken() + " found where a list was expected");
        }
        JsonStreamContext context = from.getParsingContext();
        List<Object> items = new ArrayList<>();
        while (from.nextToken() != JsonToken.END_ARRAY) {
            UnusableValue.requireToken(from);
            try {
                items.add(element.read(from));
            } catch (IOException | RuntimeException e) {
                UnusableValue.skip(from, context);
                UnusableValue.log(type, e);
            }
        }
        return items;
    }
}
