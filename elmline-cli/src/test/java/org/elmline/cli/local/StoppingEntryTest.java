package org.elmline.cli.local;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.elmline.cli.process.Client;
import org.elmline.core.common.Address;
import org.elmline.daemon.http.BearerKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** What operators get from an entry that is told to stop. */
class StoppingEntryTest {
    private static final int ANSWER_TIMEOUT_MILLIS = 30_000;
    private static final String TICKET = "{\"author\":\"tests\",\"objects\":[{\"kind\":\"organisation\",\"id\":\"new\","
            + "\"weight\":1,\"priority\":1,\"keyHashes\":[\"" + BearerKey.hash("key-of-new") + "\"],"
            + "\"maxConcurrentRequests\":0,\"maxTokensPerMinute\":0,\"removed\":false}]}";

    private LocalDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = LocalDeployment.builder().entries(2).keepSeconds(1).start();
    }

    @AfterEach
    void close() {
        deployment.close();
    }

    private static Socket connect(Address address) throws IOException {
        Socket socket = new Socket(address.ip(), address.port());
        socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static String head(String line, String key, int length) {
        return line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private boolean refusesCalls() {
        try (Socket caller = connect(deployment.entries().get(0).callers())) {
            write(caller, head("GET /v1/models", deployment.callerKey(), 0));
            return readAll(caller).contains("this host is stopping");
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against a closed connection in place of the answer to a ticket that may be in force. */
    @Test
    void ticketInProgressIsAnswered() throws Exception {
        try (Socket operator = connect(deployment.entries().get(0).operators())) {
            write(operator, head("PUT /v1/tickets/2", deployment.operatorKey(), TICKET.length()));
            write(operator, TICKET.substring(0, 5));
            Thread stop = new Thread(() -> {
                try {
                    deployment.entries().get(0).stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stop.start();
            Client.await("end of admission", () -> !stop.isAlive() || refusesCalls());
            write(operator, TICKET.substring(5));
            String answer = readAll(operator);
            assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
            stop.join();
        }
    }
}
