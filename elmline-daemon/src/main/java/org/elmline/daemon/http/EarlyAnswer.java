package org.elmline.daemon.http;

import java.io.IOException;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Ends an exchange whose answer is written before its request's body has arrived: reads and discards the rest, then
 * closes the connection. A connection that is closed while its caller sends is reset, and the answer is lost.
 */
final class EarlyAnswer implements IoCallback {
    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        // The head of the answer announces the close. The HTTP server reads the rest of a body on connections only that
        // it keeps open.
        exchange.setPersistent(true);
        exchange.addExchangeCompleteListener((ended, next) -> {
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
