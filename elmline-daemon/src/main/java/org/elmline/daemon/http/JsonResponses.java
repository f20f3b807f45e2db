package org.elmline.daemon.http;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.elmline.core.common.Refusal;
import org.elmline.wire.codec.Codecs;

/** Sends JSON responses. */
public final class JsonResponses {
    private static final String JSON = "application/json";
    private static final long MILLIS_PER_SECOND = 1000;

    private JsonResponses() {}

    public static void send(HttpServerExchange exchange, Object body) {
        send(exchange, StatusCodes.OK, body);
    }

    public static void send(HttpServerExchange exchange, int status, Object body) {
        exchange.getResponseSender().send(prepare(exchange, status, body));
    }

    /** Sends an answer at once, although the request's body has not arrived, and closes the connection after the body. */
    public static void sendBeforeBody(HttpServerExchange exchange, int status, Object body) {
        exchange.setPersistent(false);
        exchange.getResponseSender().send(prepare(exchange, status, body), new EarlyAnswer());
    }

    private static ByteBuffer prepare(HttpServerExchange exchange, int status, Object body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        return ByteBuffer.wrap(Codecs.JSON.encode(body));
    }

    /**
     * Sends the refusal's status and body, and {@code Retry-After} in whole seconds, rounded up, when a retry may help.
     */
    public static void sendRefusal(HttpServerExchange exchange, Refusal refusal) {
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        send(exchange, refusal.reason().httpStatus(), ErrorBody.of(refusal));
    }
}
