package org.elmline.daemon.http;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Ends an exchange whose answer is written before its request's body has arrived: reads and discards the rest, then
 * closes the connection, also that of a caller that stops sending. A connection that is closed while its caller sends is
 * reset, and the answer is lost.
 */
final class EarlyAnswer implements IoCallback {
    /** Time in which a caller that has its answer may send the rest of its body. */
    static final long REST_TIMEOUT_MILLIS = 10_000;

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        // The head of the answer announces the close. The HTTP server reads the rest of a body on connections only that
        // it keeps open.
        exchange.setPersistent(true);
        XnioExecutor.Key restTimeout = exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()), REST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((ended, next) -> {
            restTimeout.remove();
            IoUtils.safeClose(ended.getConnection());
            next.proceed();
        });
        exchange.endExchange();
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
        IoUtils.safeClose(exchange.getConnection());
    }
}
