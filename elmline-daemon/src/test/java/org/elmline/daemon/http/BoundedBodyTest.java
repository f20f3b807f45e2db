package org.elmline.daemon.http;

import java.io.IOException;

import okhttp3.ResponseBody;
import okio.Buffer;
import okio.Okio;
import okio.Source;
import okio.Timeout;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BoundedBodyTest {
    private static final byte[] PART = new byte[8 * 1024];
    private static final long MAX_READ_BYTES = 17L << 20;

    private long read;

    /** A body that goes on for as long as it is read. */
    private final class Endless implements Source {
        @Override
        public long read(Buffer sink, long byteCount) {
            sink.write(PART);
            read += PART.length;
            return PART.length;
        }

        @Override
        public Timeout timeout() {
            return Timeout.NONE;
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    /** Guards against a process that fills its memory with a body that does not end. */
    @Test
    void bodyWithoutEndIsCut() {
        ResponseBody body = ResponseBody.create(Okio.buffer(new Endless()), null, -1);
        assertThrows(IOException.class, () -> BoundedBody.read(body));
        assertTrue(read <= MAX_READ_BYTES, "read: " + read);
    }

    @Test
    void longBodyIsReadWhole() throws IOException {
        byte[] bytes = new byte[4 << 20];
        bytes[bytes.length - 1] = 1;
        byte[] result = BoundedBody.read(ResponseBody.create(bytes, null));
        assertEquals(bytes.length, result.length);
        assertArrayEquals(bytes, result);
    }
}
