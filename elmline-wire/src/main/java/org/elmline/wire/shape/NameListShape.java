package org.elmline.wire.shape;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/** A {@link NameList}: read from a list or an object, written as a list. */
final class NameListShape implements Shape {
    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        List<String> names = ((NameList) value).names();
        to.writeStartArray(names, names.size());
        for (String each : names) {
            to.writeString(each);
        }
        to.writeEndArray();
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        if (from.currentToken() == JsonToken.START_OBJECT) {
            return readKeys(from);
        }
        if (from.currentToken() != JsonToken.START_ARRAY) {
            throw new MismatchException(from.currentToken() + " found where names were expected");
        }
        List<String> names = new ArrayList<>();
        while (from.nextToken() != JsonToken.END_ARRAY) {
            if (from.currentToken() != JsonToken.VALUE_STRING) {
                throw new MismatchException(from.currentToken() + " found where a name was expected");
            }
            names.add(from.getText());
        }
        return new NameList(names);
    }

    private static NameList readKeys(JsonParser from) throws IOException {
        List<String> names = new ArrayList<>();
        while (from.nextToken() != JsonToken.END_OBJECT) {
            names.add(from.currentName());
            from.nextToken();
            from.skipChildren();
        }
        return new NameList(names);
    }
}
