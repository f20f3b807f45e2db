package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.Type;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import org.jboss.logging.Logger;

/** Skips and logs values that can't be used. */
final class UnusableValue {
    private static final int MAX_LOGGED_CHARS = 200;

    private UnusableValue() {}

    /** Moves to the last token of the current value of the list or object with this context. */
    static void skip(JsonParser from, JsonStreamContext context) throws IOException {
        while (from.getParsingContext() != context) {
            from.nextToken();
            requireToken(from);
        }
    }

    static void requireToken(JsonParser from) throws MismatchException {
        if (from.currentToken() == null) {
            throw new MismatchException("the message ends within a list or object");
        }
    }

    /** Creates the logger when it is needed, as loading its classes would delay the start of each process. */
    static void log(Type type, Exception why) {
        String text = String.valueOf(why.getMessage());
        Logger.getLogger(UnusableValue.class)
                .warnf(
                        "unusable value skipped: %s, %s",
                        type.getTypeName(), text.substring(0, Math.min(text.length(), MAX_LOGGED_CHARS)));
    }
}
