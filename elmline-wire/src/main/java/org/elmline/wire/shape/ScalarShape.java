package org.elmline.wire.shape;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/** Shapes of single values: texts, numbers, booleans, bytes and paths. */
enum ScalarShape implements Shape {
    TEXT {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeString((String) value);
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            expect(from, JsonToken.VALUE_STRING);
            return from.getText();
        }
    },
    INT {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeNumber((int) value);
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            return Math.toIntExact(wholeNumber(from));
        }
    },
    LONG {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeNumber((long) value);
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            return wholeNumber(from);
        }
    },
    DOUBLE {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeNumber((double) value);
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            if (from.currentToken() != JsonToken.VALUE_NUMBER_INT) {
                expect(from, JsonToken.VALUE_NUMBER_FLOAT);
            }
            return from.getDoubleValue();
        }
    },
    BOOLEAN {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeBoolean((boolean) value);
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            if (from.currentToken() != JsonToken.VALUE_TRUE) {
                expect(from, JsonToken.VALUE_FALSE);
            }
            return from.currentToken() == JsonToken.VALUE_TRUE;
        }
    },
    BYTES {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeBinary((byte[]) value);
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            if (from.currentToken() != JsonToken.VALUE_STRING) {
                expect(from, JsonToken.VALUE_EMBEDDED_OBJECT);
            }
            return from.getBinaryValue();
        }
    },
    PATH {
        @Override
        public void write(JsonGenerator to, Object value) throws IOException {
            to.writeString(((Path) value).toUri().toString());
        }

        @Override
        public Object read(JsonParser from) throws IOException {
            expect(from, JsonToken.VALUE_STRING);
            String text = from.getText();
            if (text.indexOf(':') >= 0) {
                throw new MismatchException("not a plain path: " + text);
            }
            return Path.of(text);
        }
    };

    /** Reads a number that fits into 64 bits. The MessagePack library would cut a longer one off. */
    private static long wholeNumber(JsonParser from) throws IOException {
        expect(from, JsonToken.VALUE_NUMBER_INT);
        if (from.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            throw new MismatchException("number out of range");
        }
        return from.getLongValue();
    }

    private static void expect(JsonParser from, JsonToken token) throws MismatchException {
        if (from.currentToken() != token) {
            throw new MismatchException(from.currentToken() + " found where " + token + " was expected");
        }
    }
}
