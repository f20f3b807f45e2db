package org.elmline.daemon.http;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;

/**
 * Reads a whole body without holding a thread, then passes it to a worker. Sends a refusal when the body is over the
 * listener's limit or cut off, or when no worker is free.
 */
public final class WorkerBodyReader {
    private static final long BUSY_RETRY_AFTER_MILLIS = 500;

    private final Executor workers;

    public WorkerBodyReader(Executor workers) {
        this.workers = workers;
    }

    public void read(HttpServerExchange exchange, Consumer<byte[]> then) {
        long declared = exchange.getRequestContentLength();
        long limit = exchange.getMaxEntitySize();
        if (limit > 0 && declared > limit) {
            // The body is not read: closing the connection saves both sides the transfer.
            exchange.setPersistent(false);
            JsonResponses.sendRefusal(exchange, tooLarge(limit));
            return;
        }
        exchange.getRequestReceiver()
                .receiveFullBytes((ready, body) -> runOnWorker(ready, () -> then.accept(body)), (failed, error) -> {
                    failed.setPersistent(false);
                    JsonResponses.sendRefusal(failed, toRefusal(limit, error));
                });
    }

    /** Runs a task on a worker; sends a refusal when none is free. */
    public void runOnWorker(HttpServerExchange exchange, Runnable task) {
        exchange.dispatch(
                command -> {
                    try {
                        workers.execute(command);
                    } catch (RejectedExecutionException e) {
                        JsonResponses.sendRefusal(
                                exchange,
                                Refusal.retryLater(
                                        RefusalReason.OVERLOADED,
                                        "all workers of this host are busy",
                                        BUSY_RETRY_AFTER_MILLIS));
                    }
                },
                task);
    }

    private static Refusal toRefusal(long limit, java.io.IOException error) {
        if (error instanceof io.undertow.server.RequestTooBigException) {
            return tooLarge(limit);
        }
        return Refusal.didNotRun(RefusalReason.BAD_REQUEST, "the body was cut off");
    }

    private static Refusal tooLarge(long limit) {
        return Refusal.didNotRun(RefusalReason.TOO_LARGE, "the body is over the limit of " + limit + " bytes");
    }
}
