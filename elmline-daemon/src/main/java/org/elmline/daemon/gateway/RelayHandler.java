package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.elmline.daemon.log.DecisionLog;
import org.xnio.IoUtils;

/**
 * Forwards requests of entries that have no path to a server: each is sent once, to the server that it names, if this
 * entry has a path. Used on the I/O thread only.
 */
final class RelayHandler implements HttpHandler {
    /** Requests forwarded at the same time; the rest of the host is for its own callers. */
    static final int MAX_FORWARDED = 64;

    private static final int FORBIDDEN = 403;
    private static final int UNAVAILABLE = 503;

    private final BackendAccess access;
    private final PathCheck pathCheck;
    private final RelayedAnswerObservers observers;
    private final OpenCalls openCalls;
    private final GracefulShutdown shutdown;
    private final MemoryGuard memory;
    private final DecisionLog log;
    private final Counter forwarded;
    private int forwarding;

    /** @param access with links to the servers themselves, so that no request is forwarded twice */
    RelayHandler(
            BackendAccess access,
            PathCheck pathCheck,
            RelayedAnswerObservers observers,
            OpenCalls openCalls,
            GracefulShutdown shutdown,
            MemoryGuard memory,
            DecisionLog log,
            MetricRegistry metrics) {
        this.access = access;
        this.pathCheck = pathCheck;
        this.observers = observers;
        this.openCalls = openCalls;
        this.shutdown = shutdown;
        this.memory = memory;
        this.log = log;
        this.forwarded = metrics.counter("backend.relays.forwarded");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange));
    }

    private void handle(HttpServerExchange exchange) {
        Optional<RelayRequest> request =
                RelayRequest.read(exchange.getRequestHeaders(), BackendCall.pathAndQuery(exchange), access.peerKey());
        if (request.isEmpty()) {
            log.line("relay request rejected")
                    .with("from", exchange.getSourceAddress())
                    .write();
            exchange.setStatusCode(FORBIDDEN).endExchange();
            return;
        }
        CallMemory callMemory = memory.open(exchange, null);
        BodyIntake.read(
                callMemory,
                // This refusal does not wait for the rest of the body, so its sender may miss it: it is the last
                // resort.
                new BodyIntake.StopRule(
                        openCalls, () -> true, () -> refuse(exchange.setPersistent(false), RelayRefusal.NO_PATH)),
                body -> forward(callMemory, request.get()),
                failure -> onBodyUnreadable(exchange, failure),
                () -> refuse(exchange.setPersistent(false), RelayRefusal.BUSY));
    }

    private void forward(CallMemory callMemory, RelayRequest request) {
        HttpServerExchange exchange = callMemory.exchange();
        CallHead head = access.protocol().read(exchange.getRequestHeaders());
        CallParts parts = new CallParts(exchange, head, callMemory.body());
        Optional<RelayRefusal> refusal = refusal(request, parts);
        if (refusal.isPresent()) {
            callMemory.close();
            refuse(exchange, refusal.get());
            return;
        }
        forwarding++;
        forwarded.inc();
        AnswerObserver observer = observers.create(request.target(), head, parts);
        RelayedCall call =
                new RelayedCall(access, pathCheck, observer, callMemory, request, head.requestId(), ended -> {
                    forwarding--;
                    openCalls.remove(ended);
                });
        openCalls.add(call);
        call.start();
    }

    private Optional<RelayRefusal> refusal(RelayRequest request, CallParts parts) {
        if (observers.isRefused(request.target().server(), parts)) {
            return Optional.of(RelayRefusal.WITHHELD);
        }
        if (forwarding >= MAX_FORWARDED) {
            return Optional.of(RelayRefusal.BUSY);
        }
        boolean hasPath = !access.links().isCut(request.target().server());
        return hasPath && shutdown.admitsStream() ? Optional.empty() : Optional.of(RelayRefusal.NO_PATH);
    }

    /** Answers that the request was not forwarded; no byte of it has left this entry. */
    static void refuse(HttpServerExchange exchange, RelayRefusal refusal) {
        exchange.getResponseHeaders().put(RelayRequest.REFUSAL, refusal.name());
        exchange.setStatusCode(UNAVAILABLE).endExchange();
    }

    private void onBodyUnreadable(HttpServerExchange exchange, IOException failure) {
        log.line("relay request unreadable").with("why", failure).write();
        IoUtils.safeClose(exchange.getConnection());
    }
}
