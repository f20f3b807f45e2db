package org.elmline.daemon.coordinator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.PortRole;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** What senders get whose requests a busy control host has not read when it closes its connections. */
class RequestDrainTest {
    private static final String HOST = "127.0.1.10";
    private static final int SENDERS = 10;
    private static final long BUSY_MILLIS = 200;

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final List<Socket> senders = new ArrayList<>();
    private HttpPorts ports;
    private RequestDrain drain;
    private DecisionLog log;
    private int port;

    @BeforeEach
    void open() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        ports = new HttpPorts(new SystemClock(), new MetricRegistry());
        log = new DecisionLog("control", "test", new SystemClock(), logOutput);
        drain = new RequestDrain(ports, exchange -> exchange.endExchange(), new SystemClock(), log);
        ports.addPort(PortRole.CALLERS, new Address(HOST, port), drain.handler())
                .start();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket each : senders) {
            each.close();
        }
        ports.close();
        log.close();
    }

    private Socket connect() throws IOException {
        Socket sender = new Socket();
        sender.connect(new InetSocketAddress(HOST, port));
        sender.setSoTimeout(10_000);
        senders.add(sender);
        return sender;
    }

    private static void send(Socket sender) throws IOException {
        sender.getOutputStream()
                .write("PUT /replicas/a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
                        .getBytes(StandardCharsets.ISO_8859_1));
    }

    private int answered() {
        int answered = 0;
        for (Socket each : senders) {
            try {
                String answer = new String(each.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
                answered += answer.startsWith("HTTP/1.1 503") ? 1 : 0;
            } catch (IOException e) {
                // Reset without an answer.
            }
        }
        return answered;
    }

    private void keepThreadBusy() throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        ports.worker().getIoThread().execute(() -> {
            busy.countDown();
            try {
                Thread.sleep(BUSY_MILLIS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        busy.await();
    }

    /** Guards against requests on open connections that are closed unread. */
    @Test
    void requestsOnAcceptedConnectionsAreRefusedBeforeTheyClose() throws Exception {
        for (int i = 0; i < SENDERS; i++) {
            connect();
        }
        Thread.sleep(BUSY_MILLIS);
        drain.finishOpenRequests(500);
        keepThreadBusy();
        for (Socket each : senders) {
            send(each);
        }
        drain.closeConnections();
        ports.close();
        assertEquals(SENDERS, answered());
    }

    /** Guards against connections that are reset in the kernel's queue as the port closes. */
    @Test
    void connectionsThatWaitInTheKernelAreRefused() throws Exception {
        drain.finishOpenRequests(500);
        keepThreadBusy();
        for (int i = 0; i < SENDERS; i++) {
            send(connect());
        }
        drain.closeConnections();
        ports.close();
        assertEquals(SENDERS, answered());
    }
}
