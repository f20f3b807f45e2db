package org.elmline.daemon.http;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;

/**
 * Finds a caller who has hung up while nothing is being written to it. Undertow reads nothing from a connection whose
 * request is being served, so the end of its input would go unseen until the answer is written: an engine would work on
 * for nobody. Used by the one worker that serves the request.
 */
public final class CallerDisconnectDetector {
    private final HttpServerExchange exchange;

    public CallerDisconnectDetector(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Fails when the caller's side of the connection is closed. */
    public void checkConnected() throws IOException {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            int read = connection.getOriginalSourceConduit().read(buffer.getBuffer());
            if (read < 0) {
                throw new IOException("the caller has hung up");
            }
            if (read > 0) {
                // The caller's next request came early; it is handed back to be read in its turn.
                buffer.getBuffer().flip();
                connection.ungetRequestBytes(buffer);
                kept = true;
            }
        } finally {
            if (!kept) {
                buffer.close();
            }
        }
    }
}
