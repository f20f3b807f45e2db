package org.elmline.daemon.service;

import java.security.SecureRandom;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.control.IdempotencyKey;
import org.elmline.daemon.caller.AdmissionController;
import org.elmline.daemon.http.JsonResponses;

/** {@code POST /v1/idempotency-keys}: issues a new key for the caller's organisation. */
public final class IdempotencyKeysHandler implements HttpHandler {
    private final AdmissionController admission;
    private final SecureRandom random = new SecureRandom();

    public IdempotencyKeysHandler(AdmissionController admission) {
        this.admission = admission;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        AdmissionController.Admission decision = admission.admit(exchange);
        if (decision instanceof AdmissionController.Admission.Refused refused) {
            JsonResponses.sendRefusal(exchange, refused.refusal());
            return;
        }
        admission.release();
        AdmissionController.Admission.Admitted admitted = (AdmissionController.Admission.Admitted) decision;
        IdempotencyKey key =
                IdempotencyKey.issue(admitted.call().organisation().id(), System.currentTimeMillis(), random);
        JsonResponses.send(exchange, new Issued(key.value()));
    }

    record Issued(String key) {}
}
