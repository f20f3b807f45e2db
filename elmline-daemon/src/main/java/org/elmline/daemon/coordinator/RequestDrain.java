package org.elmline.daemon.coordinator;

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
import org.elmline.daemon.log.LogLine;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.RequestCompletion;

/**
 * Ends the HTTP requests of a control host that stops: open ones are finished, and new ones are refused with 503 on a
 * connection that closes, so that their senders use another control host.
 */
final class RequestDrain {
    /** Limit on the time to write the last answers, in which nothing else is open. */
    private static final long WRITE_TIMEOUT_MILLIS = 200;

    /** Time after which the I/O thread is taken for ended. */
    private static final long DECISION_TIMEOUT_MILLIS = 1_000;

    private final HttpPorts ports;
    private final DecisionLog log;
    private final RefusableHandler handler;
    private final RequestCompletion completion;

    /** @param operators handles requests until they are refused */
    RequestDrain(HttpPorts ports, HttpHandler operators, MonotonicClock clock, DecisionLog log) {
        this.ports = ports;
        this.log = log;
        this.handler = new RefusableHandler(operators, RequestDrain::sendUnavailable);
        this.completion = new RequestCompletion(ports.openRequests(), clock, this::onIoThread);
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
        completion.awaitOpen(timeoutMillis, () -> {
            handler.refuseRequests();
            ports.closeConnectionsAfterAnswers();
        });
    }

    /** Accepts no connections any more and closes the open ones once all answers are written and no request comes. */
    void closeConnections() throws InterruptedException {
        onIoThread(() -> {
            ports.stopAccepting();
            return true;
        });
        completion.awaitQuiet(WRITE_TIMEOUT_MILLIS, ports::closeConnections);
        onIoThread(() -> {
            RequestCompletion.logUnanswered(ports.openRequests(), log, RequestDrain::identify);
            ports.closeConnections();
            return true;
        });
    }

    private static void identify(LogLine line, HttpServerExchange exchange) {
        line.with("method", exchange.getRequestMethod()).with("path", exchange.getRequestURI());
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
