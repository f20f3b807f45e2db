package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.JsonToken;
import org.jboss.logging.Logger;

/** Lists of values that are independent of each other: an item that can't be used is logged and skipped. */
final class IndependentItemsShape implements Shape {
    private static final int MAX_LOGGED_CHARS = 200;

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
            requireToken(from);
            try {
                items.add(element.read(from));
            } catch (IOException | RuntimeException e) {
                skipItem(from, context);
                logSkipped(e);
            }
        }
        return items;
    }

    /** Moves to the last token of the current item of the list with this context. */
    private static void skipItem(JsonParser from, JsonStreamContext context) throws IOException {
        while (from.getParsingContext() != context) {
            from.nextToken();
            requireToken(from);
        }
    }

    private static void requireToken(JsonParser from) throws MismatchException {
        if (from.currentToken() == null) {
            throw new MismatchException("the list has no end");
        }
    }

    /** Creates the logger when it is needed, as loading its classes would delay the start of each process. */
    private void logSkipped(Exception why) {
        String text = String.valueOf(why.getMessage());
        Logger.getLogger(IndependentItemsShape.class)
                .warnf(
                        "unusable item of a list skipped: %s, %s",
                        type.getTypeName(), text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS)));
    }
}
