package org.elmline.daemon.gateway;

import java.io.IOException;

import org.elmline.daemon.http.CountedSource;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Bounds the bytes that are read from a connection without yielding the head of an answer or content of its body. The
 * HTTP client has no bound of its own on a header, the size of a chunk or the end of a body: a server that sends one of
 * these without end would fill the memory of the process. Used on the I/O thread only.
 */
final class UnproductiveBytes extends CountedSource {
    /** Bytes of a head with room to spare, and of a read buffer that ends with the next head. */
    private static final long MAX_BYTES = 64 * 1024;

    private long bytes;

    UnproductiveBytes(StreamSourceConduit next) {
        super(next);
    }

    /** Records that a head or content of a body has arrived, or that a request is sent. */
    void reset() {
        bytes = 0;
    }

    @Override
    protected void onRead(long count) throws IOException {
        bytes += Math.max(0, count);
        if (bytes > MAX_BYTES) {
            throw new IOException("over " + MAX_BYTES + " bytes without a head or content of an answer");
        }
    }
}
