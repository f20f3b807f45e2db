package org.elmline.wire.shape;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;

/** A number or boolean that can't be null. */
final class PrimitiveShape implements Shape {
    private final ScalarShape scalar;
    private final Object absentValue;

    /** @param absentValue the value of an absent field; null where an absent field is an error */
    PrimitiveShape(ScalarShape scalar, Object absentValue) {
        this.scalar = scalar;
        this.absentValue = absentValue;
    }

    @Override
    public void write(JsonGenerator to, Object value) throws IOException {
        scalar.write(to, value);
    }

    @Override
    public Object read(JsonParser from) throws IOException {
        return scalar.read(from);
    }

    @Override
    public Object absentValue() throws MismatchException {
        if (absentValue == null) {
            throw new MismatchException("a number is missing");
        }
        return absentValue;
    }
}
