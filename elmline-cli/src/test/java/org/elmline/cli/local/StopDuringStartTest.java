package org.elmline.cli.local;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.elmline.cli.process.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertTrue;

class StopDuringStartTest {
    private static final int ANSWER_TIMEOUT_MILLIS = 30_000;

    /** Time in which a process that waits for nothing ends. */
    private static final long STOP_MILLIS = 500;

    /** Enough for each I/O thread to get some of them. */
    private static final int STATUS_REQUESTS = 8;

    @TempDir
    Path folder;

    private Process start(int operatorPort) throws IOException {
        return new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.elmline.cli.Main",
                        "local",
                        "--operator-port",
                        Integer.toString(operatorPort),
                        "--data",
                        folder.toString()))
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("output.txt").toFile())
                .start();
    }

    private static Socket connect(Process process, int port) throws InterruptedException {
        Socket[] connected = new Socket[1];
        Client.await("open port", () -> {
            try {
                connected[0] = new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (ConnectException e) {
                return !process.isAlive();
            }
            return true;
        });
        return connected[0];
    }

    private static void write(Socket operator, String line, int length, String key) throws IOException {
        String request = line + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + length
                + "\r\nAuthorization: Bearer " + key + "\r\n\r\n";
        operator.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Both I/O threads read in order of arrival, so they have read what was sent before these requests. */
    private static void awaitRead(Process process, int port, String key) throws Exception {
        for (int i = 0; i < STATUS_REQUESTS; i++) {
            try (Socket operator = connect(process, port)) {
                write(operator, "GET /v1/status", 0, key);
                operator.getInputStream().readAllBytes();
            }
        }
    }

    /** Guards against a closed connection in place of an answer where SIGTERM comes before the role has started. */
    @Test
    void requestReadDuringTheStartIsAnswered() throws Exception {
        String key = LocalKeys.loadOrGenerate(folder).operator();
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Process process = start(port);
        try (Socket operator = connect(process, port)) {
            operator.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            write(operator, "PUT /v1/tickets/2", 2, key);
            awaitRead(process, port, key);
            process.destroy();
            process.waitFor(STOP_MILLIS, TimeUnit.MILLISECONDS);
            operator.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
            String answer = new String(operator.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 "), answer);
        } finally {
            process.destroyForcibly().waitFor();
        }
    }
}
