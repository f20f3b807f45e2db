package org.elmline.daemon.http;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.PortRole;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class EarlyAnswerTest {
    private static final String IP = "127.0.1.11";
    private static final Refusal BUSY = Refusal.retryLater(RefusalReason.LEAVING, "busy", 1_000);
    private static final int READ_TIMEOUT_MILLIS = 2 * (int) EarlyAnswer.REST_TIMEOUT_MILLIS;

    /** Guards against a refused caller that stops sending and keeps its connection, which stays open for good. */
    @Test
    void closesConnectionOfCallerThatSendsNoMore() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            port = free.getLocalPort();
        }
        try (HttpPorts ports = new HttpPorts(new SystemClock(), new MetricRegistry())) {
            ports.addPort(
                            PortRole.CALLERS,
                            new Address(IP, port),
                            exchange -> JsonResponses.sendBeforeBody(exchange, 503, ErrorBody.of(BUSY)))
                    .start();
            try (Socket caller = new Socket(IP, port)) {
                caller.setSoTimeout(READ_TIMEOUT_MILLIS);
                String head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n";
                caller.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                assertTrue(answer.startsWith("HTTP/1.1 503") && answer.endsWith("}"), answer);
            }
        }
    }
}
