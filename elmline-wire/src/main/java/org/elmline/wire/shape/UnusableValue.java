package org.elmline.wire.shape;

import java.io.IOException;
import java.lang.reflect.Type;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;
import org.jboss.logging.Logger;

/** Skips, logs and counts values that can't be used. Safe for use by many threads. */
public final class UnusableValue {
    private static final int MAX_LOGGED_CHARS = 200;

    private static final LongAdder SKIPPED = new LongAdder();

    private UnusableValue() {}

    /** Number of values skipped by this process. */
    public static long skipped() {
        return SKIPPED.sum();
    }

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

    static void log(Type type, Exception why) {
        log(type, String.valueOf(why.getMessage()));
    }

    /** Logs and counts a value, or a whole message, that can't be used. */
    public static void log(Type type, String why) {
        SKIPPED.increment();
        // The logger is created when it is needed, as loading its classes would delay the start of each process.
        Logger.getLogger(UnusableValue.class)
                .warnf(
                        "unusable value skipped: %s, %s",
                        type.getTypeName(), why.substring(0, Math.min(why.length(), MAX_LOGGED_CHARS)));
    }
}
