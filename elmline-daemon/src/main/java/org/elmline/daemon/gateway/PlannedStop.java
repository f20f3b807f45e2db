package org.elmline.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.OpenRequests;
import org.xnio.XnioIoThread;

/** The planned stop of an entry, from its signal to the moment at which its process may end. */
final class PlannedStop {
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final GracefulShutdown shutdown;
    private final OpenCalls openCalls;
    private final OpenRequests openRequests;
    private final Function<HeaderMap, CallHead> heads;
    private final XnioIoThread thread;
    private final DecisionLog log;

    /** @param heads reads the headers of a call; throws IllegalArgumentException on an invalid value */
    PlannedStop(
            GracefulShutdown shutdown,
            OpenCalls openCalls,
            OpenRequests openRequests,
            Function<HeaderMap, CallHead> heads,
            XnioIoThread thread,
            DecisionLog log) {
        this.shutdown = shutdown;
        this.openCalls = openCalls;
        this.openRequests = openRequests;
        this.heads = heads;
        this.thread = thread;
        this.log = log;
    }

    /** Finishes the calls in flight within the drain time; blocks until then. */
    void run() throws InterruptedException {
        shutdown.begin();
        log.line("stopping")
                .with("open", openCalls.size())
                .with("unanswered", openRequests.size())
                .write();
        while (!onIoThread(() -> shutdown.tryEnd(openCalls.size()))) {
            Thread.sleep(CHECK_INTERVAL_MILLIS);
        }
        log.line("calls ended by the stop").with("open", openCalls.size()).write();
        thread.execute(() -> openCalls.all().forEach(OpenCall::abort));
        Thread.sleep(CHECK_INTERVAL_MILLIS);
        openRequests.all().forEach(this::logUnanswered);
        log.line("stopped")
                .with("open", openCalls.size())
                .with("unanswered", openRequests.size())
                .with("elapsedMs", shutdown.elapsedMillis())
                .write();
    }

    /**
     * Decides on the I/O thread, where calls are admitted, so that no call is admitted between the decision and the
     * end.
     */
    private <T> T onIoThread(Supplier<T> decision) {
        CompletableFuture<T> result = new CompletableFuture<>();
        thread.execute(() -> result.complete(decision.get()));
        return result.join();
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
