package org.elmline.daemon.http;

import java.io.IOException;

import okhttp3.ResponseBody;
import okio.BufferedSource;

/** Reads the body of an answer, which its server may send without end. */
public final class BoundedBody {
    /** Longest body in bytes: that of an answer that is kept for repeated calls or decoded as one message. */
    private static final long MAX_BYTES = 16L * 1024 * 1024;

    private BoundedBody() {}

    /** All bytes of a body. Throws IOException for one that is longer than 16 MB. */
    public static byte[] read(ResponseBody body) throws IOException {
        BufferedSource source = body.source();
        if (source.request(MAX_BYTES + 1)) {
            throw new IOException("an answer of over " + MAX_BYTES + " bytes");
        }
        return source.readByteArray();
    }
}
