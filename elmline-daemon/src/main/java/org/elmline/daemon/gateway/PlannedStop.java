package org.elmline.daemon.gateway;

import java.util.function.Function;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.log.LogLine;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.OpenRequests;
import org.elmline.daemon.node.RequestCompletion;
import org.xnio.XnioIoThread;

/** The planned stop of an entry, from its signal to the moment at which its process may end. */
final class PlannedStop {
    private static final long CHECK_INTERVAL_MILLIS = 50;

    /** Longest time between two checks that still shows that the thread is not busy. */
    private static final long MAX_CHECK_INTERVAL_MILLIS = 75;

    /** Time beyond the last check after which the I/O thread is taken for ended. */
    private static final long CHECK_TIMEOUT_MILLIS = 100;

    private final GracefulShutdown shutdown;
    private final OpenCalls openCalls;
    private final HttpPorts ports;
    private final OpenRequests openRequests;
    private final Function<HeaderMap, CallHead> heads;
    private final Runnable onBegin;
    private final XnioIoThread thread;
    private final DecisionLog log;
    private boolean callsEnded;
    private long receivedAtLastCheck = -1;
    private long lastCheckMillis;

    /**
     * @param heads reads the headers of a call; throws IllegalArgumentException on an invalid value
     * @param onBegin run on the I/O thread at the start of the stop
     */
    PlannedStop(
            GracefulShutdown shutdown,
            OpenCalls openCalls,
            HttpPorts ports,
            Function<HeaderMap, CallHead> heads,
            Runnable onBegin,
            XnioIoThread thread,
            DecisionLog log) {
        this.shutdown = shutdown;
        this.openCalls = openCalls;
        this.ports = ports;
        this.openRequests = ports.openRequests();
        this.heads = heads;
        this.onBegin = onBegin;
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
        thread.execute(onBegin);
        boolean isFinished = RequestCompletion.awaitOnThread(
                thread, this::tryFinish, CHECK_INTERVAL_MILLIS, shutdown.millisToExit() + CHECK_TIMEOUT_MILLIS);
        if (!isFinished) {
            RequestCompletion.logUnanswered(openRequests, log, this::identify);
        }
        log.line("stopped")
                .with("open", openCalls.size())
                .with("unanswered", openRequests.size())
                .with("elapsedMs", shutdown.elapsedMillis())
                .write();
    }

    /**
     * Runs on the I/O thread, where requests are read, so that none is read between the last check and the end of the
     * process.
     */
    private boolean tryFinish() {
        if (!shutdown.tryEnd(openCalls.size() + openRequests.size())) {
            openCalls.forEach(OpenCall::checkAdmission);
            return false;
        }
        if (!callsEnded) {
            callsEnded = true;
            endCalls();
        }
        if (!isQuiet() && shutdown.millisToExit() > 0) {
            return false;
        }
        RequestCompletion.logUnanswered(openRequests, log, this::identify);
        ports.closeConnections();
        return true;
    }

    /**
     * Whether all requests are answered and none has come since the last check: a busy thread has accepted connections
     * whose first request it has not read. After a check that is late, it may not have looked for requests since the last.
     */
    private boolean isQuiet() {
        long elapsedMillis = shutdown.elapsedMillis();
        boolean inTime = elapsedMillis - lastCheckMillis <= MAX_CHECK_INTERVAL_MILLIS;
        boolean noneReceived = openRequests.received() == receivedAtLastCheck;
        lastCheckMillis = elapsedMillis;
        receivedAtLastCheck = openRequests.received();
        return inTime && noneReceived && openRequests.isEmpty();
    }

    private void endCalls() {
        log.line("calls ended by the stop").with("open", openCalls.size()).write();
        ports.stopAccepting();
        openCalls.forEach(OpenCall::abort);
    }

    private void identify(LogLine line, HttpServerExchange exchange) {
        line.with("request", requestId(exchange)).with("answerBytes", exchange.getResponseBytesSent());
    }

    private String requestId(HttpServerExchange exchange) {
        try {
            return heads.apply(exchange.getRequestHeaders()).requestId();
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
