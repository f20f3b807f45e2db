package org.elmline.daemon.service;

import java.security.SecureRandom;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.control.IdempotencyKey;
import org.elmline.daemon.caller.Gate;
import org.elmline.daemon.http.Answers;

/** {@code POST /v1/idempotency-keys}: a fresh key for the caller's organisation. */
public final class IdempotencyKeysHandler implements HttpHandler {
    private final Gate gate;
    private final SecureRandom random = new SecureRandom();

    public IdempotencyKeysHandler(Gate gate) {
        this.gate = gate;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Gate.Passage passage = gate.enter(exchange);
        if (passage instanceof Gate.Passage.Closed closed) {
            Answers.refuse(exchange, closed.refusal());
            return;
        }
        gate.leave();
        Gate.Passage.Open open = (Gate.Passage.Open) passage;
        IdempotencyKey key = IdempotencyKey.issue(open.call().organisation().id(), System.currentTimeMillis(), random);
        Answers.json(exchange, new Issued(key.value()));
    }

    record Issued(String key) {}
}
