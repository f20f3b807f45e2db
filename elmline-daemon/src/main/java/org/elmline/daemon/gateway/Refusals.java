package org.elmline.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import org.elmline.daemon.http.JsonResponses;

/** Writes final answers that are not a backend server's. */
final class Refusals {
    private Refusals() {}

    static void send(HttpServerExchange exchange, int status, String why, boolean mayHaveRun) {
        JsonResponses.send(exchange, status, new Body(why, mayHaveRun ? "unknown" : "no"));
    }

    /** {@code ran} is {@code no} where the call did not run and never will. */
    record Body(String error, String ran) {}
}
