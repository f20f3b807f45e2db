package org.elmline.daemon.caller;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.core.common.Refusal;
import org.elmline.core.engine.FinishReason;
import org.elmline.daemon.http.Answers;
import org.elmline.daemon.openai.CompletionWriter;

/** Gathers an answer and sends it whole. */
final class WholeSink implements AnswerSink {
    private final HttpServerExchange exchange;
    private final CompletionWriter writer;
    private final StringBuilder text = new StringBuilder();

    WholeSink(HttpServerExchange exchange, CompletionWriter writer) {
        this.exchange = exchange;
        this.writer = writer;
    }

    @Override
    public void piece(String piece) {
        text.append(piece);
    }

    @Override
    public void end(int tokens, FinishReason reason) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(writer.whole(text.toString(), tokens, reason)));
    }

    @Override
    public void refuse(Refusal refusal) {
        Answers.refuse(exchange, refusal);
    }

    @Override
    public void idle() {
        // Nothing may be written before the status is known.
    }
}
