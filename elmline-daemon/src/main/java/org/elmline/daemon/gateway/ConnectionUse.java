package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.StreamConnection;

/**
 * How a connection to a backend server has been used, and whether bytes have arrived on it while no request waits for an
 * answer. A server may send such bytes after a complete answer; they would be taken for the answer to the next request.
 * Used on the I/O thread only.
 */
final class ConnectionUse {
    private final StreamConnection socket;
    private boolean used;

    ConnectionUse(StreamConnection socket) {
        this.socket = socket;
    }

    /** Records that a request is sent. Returns whether one was sent before. */
    boolean recordRequest() {
        boolean before = used;
        used = true;
        return before;
    }

    /**
     * Whether an idle connection can carry a request: nothing has arrived on it, not even its end. The client reads idle
     * connections too, but only in a later turn of the I/O thread.
     */
    boolean isQuiet() {
        try {
            return socket.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            // The connection has failed.
            return false;
        }
    }
}
