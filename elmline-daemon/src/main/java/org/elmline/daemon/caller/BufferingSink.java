package org.elmline.daemon.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.engine.FinishReason;
import org.elmline.daemon.http.CallerDisconnectDetector;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.openai.CompletionWriter;

/** Buffers an answer and sends it whole. Checks at most every 500 ms whether the caller is still connected. */
final class BufferingSink implements AnswerSink {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final HttpServerExchange exchange;
    private final CompletionWriter writer;
    private final MonotonicClock clock;
    private final CallerDisconnectDetector disconnectDetector;
    private final StringBuilder text = new StringBuilder();
    private long lastCheckNanos;

    BufferingSink(HttpServerExchange exchange, CompletionWriter writer, MonotonicClock clock) {
        this.exchange = exchange;
        this.writer = writer;
        this.clock = clock;
        this.disconnectDetector = new CallerDisconnectDetector(exchange);
        this.lastCheckNanos = clock.nanos();
    }

    @Override
    public void piece(String piece) throws IOException {
        text.append(piece);
        onIdle();
    }

    @Override
    public void end(int tokens, FinishReason reason) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(writer.whole(text.toString(), tokens, reason)));
    }

    @Override
    public void refuse(Refusal refusal) {
        JsonResponses.sendRefusal(exchange, refusal);
    }

    @Override
    public void onIdle() throws IOException {
        long now = clock.nanos();
        if (now - lastCheckNanos >= CHECK_INTERVAL_NANOS) {
            lastCheckNanos = now;
            disconnectDetector.checkConnected();
        }
    }
}
