package org.elmline.daemon.coordinator;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.http.RefusableHandler;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.OpenRequests;

/**
 * Ends the HTTP requests of a control host that stops: open ones are finished, and new ones are refused with 503 on a
 * connection that closes, so that their senders use another control host.
 */
final class RequestDrain {
    private static final long CHECK_INTERVAL_MILLIS = 10;

    /** Limit on the time to write the last answers, in which nothing else is open. */
    private static final long WRITE_TIMEOUT_MILLIS = 200;

    /** Time after which the I/O thread is taken for ended. */
    private static final long DECISION_TIMEOUT_MILLIS = 1_000;

    private final HttpPorts ports;
    private final OpenRequests openRequests;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final RefusableHandler handler;

    /** @param operators handles requests until they are refused */
    RequestDrain(HttpPorts ports, HttpHandler operators, MonotonicClock clock, DecisionLog log) {
        this.ports = ports;
        this.openRequests = ports.openRequests();
        this.clock = clock;
        this.log = log;
        this.handler = new RefusableHandler(operators, RequestDrain::sendUnavailable);
    }

    /** The handler of operators' requests. */
    HttpHandler handler() {
        return handler;
    }

    private static void sendUnavailable(HttpServerExchange exchange) {
        exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
        // Another control host can answer at once.
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "0");
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{}");
    }

    /** Refuses new requests and returns once the open ones are answered, or after the time limit. */
    void finishOpenRequests(long timeoutMillis) throws InterruptedException {
        Set<HttpServerExchange> unanswered = new HashSet<>();
        onIoThread(() -> {
            handler.refuseRequests();
            ports.closeConnectionsAfterAnswers();
            return unanswered.addAll(openRequests.all());
        });
        await(timeoutMillis, () -> {
            unanswered.retainAll(openRequests.all());
            return unanswered.isEmpty();
        });
    }

    /** Accepts no connections any more and closes the open ones once all answers are written. */
    void closeConnections() throws InterruptedException {
        await(WRITE_TIMEOUT_MILLIS, () -> {
            ports.stopAccepting();
            return openRequests.isEmpty();
        });
        onIoThread(() -> {
            openRequests.all().forEach(this::logUnanswered);
            ports.closeConnections();
            return true;
        });
    }

    private void logUnanswered(HttpServerExchange exchange) {
        log.line("request unanswered at the stop")
                .with("method", exchange.getRequestMethod())
                .with("path", exchange.getRequestURI())
                .with("read", exchange.isRequestComplete())
                .with("answerBegun", exchange.isResponseStarted())
                .write();
    }

    private void await(long timeoutMillis, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!onIoThread(condition) && clock.nanos() - deadlineNanos < 0) {
            Thread.sleep(CHECK_INTERVAL_MILLIS);
        }
    }

    /**
     * Decides on the I/O thread, where requests are read, so that none is read between a decision and its effect. An I/O
     * thread that does not run any more decides nothing; the stop goes on.
     */
    private boolean onIoThread(BooleanSupplier decision) throws InterruptedException {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        ports.worker().getIoThread().execute(() -> {
            try {
                result.complete(decision.getAsBoolean());
            } catch (RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get(DECISION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.line("stop not decided").with("why", e).write();
            return true;
        }
    }
}
