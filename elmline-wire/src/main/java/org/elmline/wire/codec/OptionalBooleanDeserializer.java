package org.elmline.wire.codec;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;

/**
 * Reads a {@code boolean} that may be absent, which means false: a ticket need not state for each object that it is not
 * removed. An absent number stays an error, since a limit of 0 has a meaning of its own.
 */
final class OptionalBooleanDeserializer extends StdDeserializer<Boolean> {
    private static final long serialVersionUID = 1L;

    OptionalBooleanDeserializer() {
        super(boolean.class);
    }

    @Override
    public Boolean deserialize(JsonParser parser, DeserializationContext context) throws IOException {
        if (parser.currentToken() == JsonToken.VALUE_TRUE) {
            return true;
        }
        if (parser.currentToken() == JsonToken.VALUE_FALSE) {
            return false;
        }
        return (Boolean) context.handleUnexpectedToken(boolean.class, parser);
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public Object getAbsentValue(DeserializationContext context) {
        return false;
    }
}
