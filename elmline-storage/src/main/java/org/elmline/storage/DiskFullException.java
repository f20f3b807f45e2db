package org.elmline.storage;

import java.io.IOException;

/** Thrown when a write fails because the disk is full. Bytes that it may have written are not valid. */
public final class DiskFullException extends IOException {
    private static final long serialVersionUID = 1L;

    public DiskFullException(String message) {
        super(message);
    }
}
