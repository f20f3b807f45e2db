package org.elmline.daemon.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

/** Passes requests on to a handler until they are refused. Safe for use by many threads. */
public final class RefusableHandler implements HttpHandler {
    private final HttpHandler next;
    private final HttpHandler refusal;
    private volatile boolean isRefusing;

    /** @param refusal answers each refused request once its body is read */
    public RefusableHandler(HttpHandler next, HttpHandler refusal) {
        this.next = next;
        this.refusal = refusal;
    }

    /** Refuses all requests that are received from now on. */
    public void refuseRequests() {
        isRefusing = true;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (isRefusing) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> refuse(exchange));
        } else {
            next.handleRequest(exchange);
        }
    }

    /** Reads the body first: closing a connection with unread bytes would discard the answer. */
    private void refuse(HttpServerExchange exchange) {
        IoThreadBodyReader.read(
                exchange, body -> sendRefusal(exchange), failure -> IoUtils.safeClose(exchange.getConnection()));
    }

    private void sendRefusal(HttpServerExchange exchange) {
        try {
            refusal.handleRequest(exchange);
        } catch (Exception e) {
            throw new IllegalStateException("refusal failed", e);
        }
    }
}
