package org.elmline.daemon.operator;

import java.util.List;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.daemon.http.BearerKey;
import org.elmline.daemon.http.JsonResponses;

/** Refuses requests that carry no operator key. */
public final class OperatorKeyHandler implements HttpHandler {
    private final List<String> keys;
    private final HttpHandler next;

    public OperatorKeyHandler(List<String> keys, HttpHandler next) {
        this.keys = List.copyOf(keys);
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (!BearerKey.matchesAny(exchange, keys)) {
            JsonResponses.sendRefusal(
                    exchange, Refusal.didNotRun(RefusalReason.UNAUTHENTICATED, "not an operator key"));
            return;
        }
        next.handleRequest(exchange);
    }
}
