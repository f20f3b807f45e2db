package org.elmline.wire.shape;

import java.io.IOException;

/** Thrown when tokens don't form a value of the expected type. */
public final class MismatchException extends IOException {
    private static final long serialVersionUID = 1L;

    MismatchException(String message) {
        super(message);
    }
}
