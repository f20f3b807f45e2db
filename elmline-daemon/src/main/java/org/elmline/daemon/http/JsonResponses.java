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
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, JSON);
        exchange.getResponseSender().send(ByteBuffer.wrap(Codecs.JSON.encode(body)));
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
