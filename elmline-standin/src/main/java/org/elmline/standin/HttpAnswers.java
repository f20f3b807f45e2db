package org.elmline.standin;

import java.nio.ByteBuffer;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.wire.engine.EngineJson;
import org.elmline.wire.engine.Problem;

/** Answers of the stand-ins' HTTP servers, all JSON. */
public final class HttpAnswers {
    private HttpAnswers() {}

    public static void json(HttpServerExchange exchange, Object body) {
        json(exchange, 200, body);
    }

    public static void json(HttpServerExchange exchange, int status, Object body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(EngineJson.write(body)));
    }

    public static void problem(HttpServerExchange exchange, int status, String why) {
        json(exchange, status, new Problem(why));
    }

    /** A query parameter, or null. */
    public static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }
}
