package org.elmline.wire.shape;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;

/** How values of one type are written as tokens and read from them. Safe for use by many threads. */
public interface Shape {
    /** Writes a value that is not null. */
    void write(JsonGenerator to, Object value) throws IOException;

    /**
     * Reads a value that is not null. The parser stands on its first token, and on its last one afterwards.
     *
     * @throws MismatchException when the tokens are no such value
     */
    Object read(JsonParser from) throws IOException;

    /** What stands for a component that is left out or null. */
    default Object absentValue() throws MismatchException {
        return null;
    }
}
