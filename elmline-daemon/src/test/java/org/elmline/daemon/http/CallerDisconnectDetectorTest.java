package org.elmline.daemon.http;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.elmline.core.common.Address;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class CallerDisconnectDetectorTest {
    private static final int CHECKS = 200;
    private static final int PIPELINED_BYTES = 1 << 20;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final long TIMEOUT_SECONDS = 10;

    /** Guards against requests behind one that is being served, of which each check would hold another buffer. */
    @Test
    void checksHoldOneBufferOfPipelinedRequests() throws Exception {
        CompletableFuture<Integer> held = new CompletableFuture<>();
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, HttpLimits.DEFAULT, each -> check(each, held));
                Socket client = connect(listener.address())) {
            client.getOutputStream()
                    .write(request()
                            .repeat(PIPELINED_BYTES / request().length())
                            .getBytes(StandardCharsets.US_ASCII));
            assertTrue(held.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) <= BUFFER_BYTES, held + " bytes");
        }
    }

    private static String request() {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    private static Socket connect(Address address) throws Exception {
        return new Socket(address.ip(), address.port());
    }

    private static void check(HttpServerExchange exchange, CompletableFuture<Integer> held) {
        exchange.dispatch(exchange.getIoThread(), () -> {
            try {
                CallerDisconnectDetector detector = new CallerDisconnectDetector(exchange);
                for (int i = 0; i < CHECKS; i++) {
                    detector.checkConnected();
                    Thread.sleep(1);
                }
                HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
                held.complete(
                        connection.getExtraBytes() == null
                                ? 0
                                : connection.getExtraBytes().getBuffer().capacity());
            } catch (Exception e) {
                held.completeExceptionally(e);
            }
        });
    }
}
