package org.elmline.daemon.http;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;

/**
 * Detects a caller that has disconnected while nothing is being written to it. Undertow reads nothing from a connection
 * whose request is being served, so the end of its input would go undetected until the answer is written, and an engine
 * would generate an answer for a caller that is gone. Used by the one worker that serves the request.
 */
public final class CallerDisconnectDetector {
    private final HttpServerExchange exchange;

    public CallerDisconnectDetector(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /**
     * Checks the connection.
     *
     * @throws IOException when the caller's side of the connection is closed
     */
    public void checkConnected() throws IOException {
        if (!(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        if (connection.getExtraBytes() != null) {
            // Each further read would add to the bytes that wait behind the request.
            return;
        }
        PooledByteBuffer buffer = connection.getByteBufferPool().allocate();
        boolean pushedBack = false;
        try {
            int read = connection.getOriginalSourceConduit().read(buffer.getBuffer());
            if (read < 0) {
                throw new IOException("the caller closed its connection");
            }
            if (read > 0) {
                // The caller has pipelined its next request; the bytes are returned to the connection to be parsed in
                // order.
                buffer.getBuffer().flip();
                connection.ungetRequestBytes(buffer);
                pushedBack = true;
            }
        } finally {
            if (!pushedBack) {
                buffer.close();
            }
        }
    }
}
