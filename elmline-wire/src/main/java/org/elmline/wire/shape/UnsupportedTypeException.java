package org.elmline.wire.shape;

import java.lang.reflect.Type;

/** Thrown for a type that shapes don't support; data binding does. */
public final class UnsupportedTypeException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    UnsupportedTypeException(Type type) {
        super(type.getTypeName());
    }
}
