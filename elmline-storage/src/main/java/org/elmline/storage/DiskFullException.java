package org.elmline.storage;

import java.io.IOException;

/** A write found no room. Nothing of it counts. */
public final class DiskFullException extends IOException {
    private static final long serialVersionUID = 1L;

    public DiskFullException(String message) {
        super(message);
    }
}
