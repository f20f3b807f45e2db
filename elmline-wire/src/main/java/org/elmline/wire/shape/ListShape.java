package org.elmline.wire.shape;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/** Lists of values of one type. */
final class ListShape implements Shape {
    private final Shape element;

    ListShape(Shape element) {
        this.element = element;
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        List<?> list = (List<?>) value;
        to.writeStartArray(list, list.size());
        for (Object each : list) {
            if (each == null) {
                to.writeNull();
            } else {
                element.write(to, each);
            }
        }
        to.writeEndArray();
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        if (from.currentToken() != JsonToken.START_ARRAY) {
            throw new MismatchException(from.currentToken() + " found where a list was expected");
        }
        List<Object> list = new ArrayList<>();
        while (from.nextToken() != JsonToken.END_ARRAY) {
            list.add(from.currentToken() == JsonToken.VALUE_NULL ? element.absentValue() : element.read(from));
        }
        return list;
    }
}
