package org.elmline.daemon.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.OpenRequests;
import org.xnio.XnioIoThread;

/** The planned stop of an entry, from its signal to the moment at which its process may end. */
final class PlannedStop {
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final GracefulShutdown shutdown;
    private final OpenCalls openCalls;
    private final HttpPorts ports;
    private final OpenRequests openRequests;
    private final Function<HeaderMap, CallHead> heads;
    private final XnioIoThread thread;
    private final DecisionLog log;
    private final CountDownLatch finished = new CountDownLatch(1);
    private boolean callsEnded;
    private long receivedAtLastCheck = -1;

    /** @param heads reads the headers of a call; throws IllegalArgumentException on an invalid value */
    PlannedStop(
            GracefulShutdown shutdown,
            OpenCalls openCalls,
            HttpPorts ports,
            Function<HeaderMap, CallHead> heads,
            XnioIoThread thread,
            DecisionLog log) {
        this.shutdown = shutdown;
        this.openCalls = openCalls;
        this.ports = ports;
        this.openRequests = ports.openRequests();
        this.heads = heads;
        this.thread = thread;
        this.log = log;
    }

    /**
     * Finishes the calls in flight within the drain time, ends the others, and returns once all answers are written or no
     * time is left.
     */
    void run() throws InterruptedException {
        shutdown.begin();
        ports.closeConnectionsAfterAnswers();
        log.line("stopping")
                .with("open", openCalls.size())
                .with("unanswered", openRequests.size())
                .write();
        thread.execute(this::check);
        // The process ends in time even if the I/O thread does not run any more.
        finished.await(shutdown.millisToExit(), TimeUnit.MILLISECONDS);
        log.line("stopped")
                .with("open", openCalls.size())
                .with("unanswered", openRequests.size())
                .with("elapsedMs", shutdown.elapsedMillis())
                .write();
    }

    /**
     * Runs on the I/O thread, where requests are read, so that none is read between the last check and the end of the
     * process. Between two checks the thread serves all connections that are ready.
     */
    private void check() {
        if (tryFinish()) {
            finished.countDown();
        } else {
            thread.executeAfter(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean tryFinish() {
        if (!shutdown.tryEnd(openCalls.size() + openRequests.size())) {
            openCalls.all().forEach(OpenCall::checkAdmission);
            return false;
        }
        if (!callsEnded) {
            callsEnded = true;
            endCalls();
        }
        if (!isQuiet() && shutdown.millisToExit() > 0) {
            return false;
        }
        openRequests.all().forEach(this::logUnanswered);
        ports.closeConnections();
        return true;
    }

    /**
     * Whether all requests are answered and none has come since the last check: a busy thread has accepted connections
     * whose first request it has not read.
     */
    private boolean isQuiet() {
        long receivedBefore = receivedAtLastCheck;
        receivedAtLastCheck = openRequests.received();
        return openRequests.isEmpty() && receivedAtLastCheck == receivedBefore;
    }

    private void endCalls() {
        log.line("calls ended by the stop").with("open", openCalls.size()).write();
        ports.stopAccepting();
        openCalls.all().forEach(OpenCall::abort);
    }

    private void logUnanswered(HttpServerExchange exchange) {
        log.line("request unanswered at the stop")
                .with("request", requestId(exchange))
                .with("read", exchange.isRequestComplete())
                .with("answerBegun", exchange.isResponseStarted())
                .with("answerBytes", exchange.getResponseBytesSent())
                .write();
    }

    private String requestId(HttpServerExchange exchange) {
        try {
            return heads.apply(exchange.getRequestHeaders()).requestId();
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
