package org.elmline.standin;

import java.nio.ByteBuffer;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.wire.engine.EngineJson;
import org.elmline.wire.engine.Problem;

/** Sends JSON responses of the stand-ins' HTTP servers. */
public final class StandinHttpResponses {
    private StandinHttpResponses() {}

    public static void send(HttpServerExchange exchange, Object body) {
        send(exchange, 200, body);
    }

    public static void send(HttpServerExchange exchange, int status, Object body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(EngineJson.write(body)));
    }

    public static void sendProblem(HttpServerExchange exchange, int status, String why) {
        send(exchange, status, new Problem(why));
    }

    /** The first value of a query parameter, or null if it is missing. */
    public static String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }
}
