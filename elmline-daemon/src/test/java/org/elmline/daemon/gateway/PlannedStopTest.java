package org.elmline.daemon.gateway;

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
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.SameThreadExecutor;
import org.elmline.core.common.Address;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.PortRole;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** What callers have received when an entry lets its process end. */
class PlannedStopTest {
    private static final String HOST = "127.0.2.9";
    private static final long DRAIN_MILLIS = 2_000;
    private static final int WAITING_CALLS = 10;

    /** For all calls, longer than the interval in which a stop checks what is open. */
    private static final long BUSY_MILLIS = 25;

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final List<Socket> callers = new ArrayList<>();
    private final CountDownLatch received = new CountDownLatch(WAITING_CALLS);
    private HttpPorts ports;
    private XnioIoThread thread;
    private OpenCalls openCalls;
    private DecisionLog log;
    private int port;

    @BeforeEach
    void open() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        ports = new HttpPorts(new SystemClock(), new MetricRegistry());
        thread = ports.worker().getIoThread();
        log = new DecisionLog("entry", "test", new SystemClock(), logOutput);
        openCalls = new OpenCalls(thread, log);
        ports.addPort(
                        PortRole.CALLERS,
                        new Address(HOST, port),
                        exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                            openCalls.add(new WaitingCall(exchange));
                            received.countDown();
                        }))
                .start();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket each : callers) {
            each.close();
        }
        ports.close();
        log.close();
    }

    /** A call without a place, whose refusal takes a busy host some time. */
    private final class WaitingCall implements OpenCall {
        private final HttpServerExchange exchange;

        WaitingCall(HttpServerExchange exchange) {
            this.exchange = exchange;
        }

        @Override
        public void checkCaller() {
            // The caller stays.
        }

        @Override
        public void checkQuarantine() {
            // Nothing is quarantined.
        }

        @Override
        public void checkAdmission() {
            // The call is kept to the end.
        }

        @Override
        public void abort() {
            openCalls.remove(this);
            keepBusy();
            Refusals.send(exchange, 503, "the entry stops", false);
        }
    }

    private static final class FailingCall implements OpenCall {
        @Override
        public void checkCaller() {
            throw new IllegalStateException("checked");
        }

        @Override
        public void checkQuarantine() {
            throw new IllegalStateException("quarantine checked");
        }

        @Override
        public void checkAdmission() {
            throw new IllegalStateException("admission checked");
        }

        @Override
        public void abort() {
            throw new IllegalStateException("aborted");
        }
    }

    private static void keepBusy() {
        try {
            Thread.sleep(BUSY_MILLIS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static CallHead head(HeaderMap headers) {
        throw new IllegalArgumentException("no id");
    }

    private void send() throws IOException {
        Socket caller = new Socket();
        caller.connect(new InetSocketAddress(HOST, port));
        caller.setSoTimeout(10_000);
        caller.getOutputStream().write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        callers.add(caller);
    }

    private void stop() throws InterruptedException {
        GracefulShutdown shutdown = new GracefulShutdown(new SystemClock(), DRAIN_MILLIS);
        new PlannedStop(shutdown, openCalls, ports, PlannedStopTest::head, () -> {}, thread, log).run();
    }

    private int answered() throws IOException {
        int answered = 0;
        for (Socket each : callers) {
            String answer = new String(each.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            answered += answer.startsWith("HTTP/1.1 503") ? 1 : 0;
        }
        return answered;
    }

    private void sendAll() throws Exception {
        for (int i = 0; i < WAITING_CALLS; i++) {
            send();
        }
        received.await();
    }

    /** Guards against refusals of an entry that stops which its process ends before they are written. */
    @Test
    void callsThatWaitAreAnsweredBeforeTheProcessEnds() throws Exception {
        sendAll();
        stop();
        assertEquals(0, ports.openRequests().size());
        ports.close();
        assertEquals(WAITING_CALLS, answered());
    }

    /** Guards against a stop that a single call keeps from all that is left to do. */
    @Test
    void callThatFailsDoesNotKeepTheOthersFromTheirAnswers() throws Exception {
        thread.execute(() -> openCalls.add(new FailingCall()));
        sendAll();
        stop();
        ports.close();
        assertEquals(WAITING_CALLS, answered());
    }
}
