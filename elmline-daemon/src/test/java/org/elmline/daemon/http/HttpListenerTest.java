package org.elmline.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.Address;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HttpListenerTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final int ANSWER_TIMEOUT_MILLIS = 30_000;
    private static final int NO_ANSWER_WAIT_MILLIS = 500;
    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * One client opens as many connections as the limit allows and keeps them. A further connection is accepted by the
     * system but not served, since each connection costs memory; once one of the others closes, it must be served.
     * Without the limit, one client could exhaust the process by opening connections.
     */
    @Test
    void connectionOverLimitWaitsUntilAnotherCloses() throws IOException {
        HttpLimits limits =
                new HttpLimits(1 << 20, 1 << 14, MAX_CONNECTIONS, ANSWER_TIMEOUT_MILLIS, ANSWER_TIMEOUT_MILLIS);
        List<Socket> open = new ArrayList<>();
        try (HttpListener listener =
                HttpListener.start("127.0.0.1", 0, limits, exchange -> JsonResponses.send(exchange, List.of()))) {
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                open.add(connect(listener.address()));
                assertEquals('H', firstByte(open.get(i), ANSWER_TIMEOUT_MILLIS));
            }
            Socket over = connect(listener.address());
            open.add(over);
            assertThrows(SocketTimeoutException.class, () -> firstByte(over, NO_ANSWER_WAIT_MILLIS));
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                open.get(i).close();
            }
            assertEquals('H', firstByte(over, ANSWER_TIMEOUT_MILLIS));
        } finally {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    private static Socket connect(Address address) throws IOException {
        Socket socket = new Socket(address.ip(), address.port());
        socket.getOutputStream().write(REQUEST);
        return socket;
    }

    private static int firstByte(Socket socket, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        InputStream in = socket.getInputStream();
        return in.read();
    }
}
