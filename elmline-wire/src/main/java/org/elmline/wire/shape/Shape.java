package org.elmline.wire.shape;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonStreamContext;

/** How values of one type are written as tokens and read from them. Safe for use by many threads. */
public interface Shape {
    /** Writes a value that is not null. */
    void write(JsonGenerator to, Object value) throws IOException;

    /**
     * Reads a value that is not null. The parser is positioned on the value's first token, and afterwards on its last.
     *
     * @throws MismatchException when the tokens don't form a value of the type
     */
    Object read(JsonParser from) throws IOException;

    /**
     * Reads a component of a record, positioned as for {@link #read}.
     *
     * @param object context of the object that holds the component
     */
    default Object readComponent(JsonParser from, JsonStreamContext object) throws IOException {
        return read(from);
    }

    /** The value of a component that is absent or null. */
    default Object absentValue() throws MismatchException {
        return null;
    }
}
