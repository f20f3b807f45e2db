package org.elmline.cli.local;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.elmline.cli.process.Client;
import org.elmline.core.common.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What operators get from a control host that is told to stop. */
class StoppingControlTest {
    private static final int ANSWER_TIMEOUT_MILLIS = 30_000;

    private LocalDeployment deployment;
    private Address control;

    @BeforeEach
    void start() throws Exception {
        deployment = LocalDeployment.builder().keepSeconds(1).start();
        control = deployment.controlHosts().get(0).operators();
    }

    @AfterEach
    void close() {
        deployment.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(control.ip(), control.port());
        socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
        return socket;
    }

    private void writeHead(Socket socket, int length) throws IOException {
        String head = "GET /v1/status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + deployment.operatorKey()
                + "\r\nContent-Length: " + length + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private boolean refuses() throws IOException {
        try (Socket socket = connect()) {
            writeHead(socket, 0);
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("503");
        }
    }

    private static Thread start(Executable stop) {
        Thread thread = new Thread(() -> {
            try {
                stop.execute();
            } catch (Throwable e) {
                throw new IllegalStateException(e);
            }
        });
        thread.start();
        return thread;
    }

    private void assertRefusesUntilStopped(Executable stop) throws Exception {
        try (Socket open = connect();
                Socket idle = connect()) {
            writeHead(open, 1);
            assertEquals('H', open.getInputStream().read());
            Thread stopping = start(stop);
            Client.await("refusal", () -> !stopping.isAlive() || refuses());
            assertTrue(stopping.isAlive(), "stopped with an open request");
            writeHead(idle, 0);
            String answer = readAll(idle);
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertTrue(answer.contains("Connection: close\r\n"), answer);
            assertTrue(answer.contains("Retry-After: "), answer);
            open.getOutputStream().write('a');
            stopping.join();
        }
    }

    /** Guards against a control host that closes connections without an answer. */
    @Test
    void newRequestIsRefusedAndItsConnectionClosed() throws Exception {
        assertRefusesUntilStopped(() -> deployment.controlHosts().get(0).stop());
    }

    /** Guards against a deployment in one process that stops its entry gracefully, but not its control host. */
    @Test
    void controlHostOfALocalDeploymentRefusesRequestsToo() throws Exception {
        assertRefusesUntilStopped(() -> LocalCommand.role(deployment).stop());
    }
}
