package org.elmline.wire.shape;

import java.io.IOException;

/** The tokens read are no value of the type asked for. */
public final class MismatchException extends IOException {
    private static final long serialVersionUID = 1L;

    MismatchException(String message) {
        super(message);
    }
}
