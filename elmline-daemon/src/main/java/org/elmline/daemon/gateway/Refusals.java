package org.elmline.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import org.elmline.daemon.http.JsonResponses;

/** Sends final answers that are not a backend server's. */
final class Refusals {
    private Refusals() {}

    static void send(HttpServerExchange exchange, int status, String why, boolean mayHaveRun) {
        JsonResponses.send(exchange, status, new Body(why, mayHaveRun ? "unknown" : "no"));
    }

    /** Sends the refusal of a call that did not run, while its caller may still send the body. */
    static void sendBeforeBody(HttpServerExchange exchange, int status, String why) {
        JsonResponses.sendBeforeBody(exchange, status, new Body(why, "no"));
    }

    /** Body of a refusal. {@code ran} is {@code no} where the call did not run and never will, else {@code unknown}. */
    record Body(String error, String ran) {}
}
