package org.elmline.daemon.node;

import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class ConnectionGuardTest {
    private static final String IP = "127.0.0.1";
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int CHUNKS = 4_000;
    private static final String CHUNK = "400\r\n" + "a".repeat(1_024) + "\r\n";
    private static final int TIMEOUT_MILLIS = 10_000;

    /** Guards against a reset in place of an answer that does not wait for a long body in chunks. */
    @Test
    void ordinaryBodyThatNobodyReadsIsReceived() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        try (HttpPorts ports = new HttpPorts(new SystemClock(), new MetricRegistry())) {
            ports.addPort(PortRole.READY, new Address(IP, port), exchange -> exchange.setStatusCode(503))
                    .start();
            try (Socket client = new Socket(IP, port)) {
                client.setSoTimeout(TIMEOUT_MILLIS);
                send(client, HEAD);
                for (int i = 0; i < CHUNKS; i++) {
                    send(client, CHUNK);
                }
                send(client, "0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
                String answers = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(answers.split("HTTP/1.1 503").length == 3, answers);
            }
        }
    }

    private static void send(Socket client, String text) throws Exception {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
