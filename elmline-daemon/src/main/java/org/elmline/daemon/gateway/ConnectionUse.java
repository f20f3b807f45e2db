package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import org.xnio.StreamConnection;

/**
 * How a connection to a backend server has been used, and whether bytes have arrived on it while no request waits for an
 * answer. A server may send such bytes after a complete answer; they would be taken for the answer to the next request.
 * Used on the I/O thread only.
 */
final class ConnectionUse {
    private static final AttachmentKey<ConnectionUse> KEY = AttachmentKey.create(ConnectionUse.class);

    private final StreamConnection socket;
    private boolean used;

    ConnectionUse(StreamConnection socket) {
        this.socket = socket;
    }

    void attachTo(ClientConnection connection) {
        if (connection instanceof Attachable attachable) {
            attachable.putAttachment(KEY, this);
        }
    }

    private static ConnectionUse of(ClientConnection connection) {
        return connection instanceof Attachable attachable ? attachable.getAttachment(KEY) : null;
    }

    /** Records that a request is sent on a connection. Returns whether one was sent on it before. */
    static boolean recordRequest(ClientConnection connection) {
        ConnectionUse use = of(connection);
        if (use == null) {
            return false;
        }
        boolean before = use.used;
        use.used = true;
        return before;
    }

    /** Whether an idle connection can carry a request: nothing has arrived on it, not even its end. */
    static boolean isQuiet(ClientConnection connection) {
        ConnectionUse use = of(connection);
        return use == null || use.hasNothingToRead();
    }

    /** The client reads idle connections too, but only in a later turn of the I/O thread. */
    private boolean hasNothingToRead() {
        try {
            return socket.getSourceChannel().read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            // The connection has failed.
            return false;
        }
    }
}
