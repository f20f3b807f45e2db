package org.elmline.daemon.caller;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.core.common.Refusal;
import org.elmline.core.engine.FinishReason;
import org.elmline.daemon.http.CallerDisconnectDetector;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.openai.CompletionWriter;

/** Sends an answer piece by piece as server-sent events. The status line is sent with the first piece. */
final class StreamSink implements AnswerSink {
    /** A comment line, which clients of server-sent events ignore. */
    private static final byte[] KEEP_ALIVE_COMMENT = ": waiting\n\n".getBytes(StandardCharsets.UTF_8);

    private final HttpServerExchange exchange;
    private final CompletionWriter writer;
    private OutputStream out;

    StreamSink(HttpServerExchange exchange, CompletionWriter writer) {
        this.exchange = exchange;
        this.writer = writer;
    }

    @Override
    public void piece(String text) throws IOException {
        boolean first = out == null;
        write(writer.piece(text, first));
    }

    @Override
    public void end(int tokens, FinishReason reason) throws IOException {
        write(writer.endEvents(tokens, reason));
        out.close();
    }

    @Override
    public void refuse(Refusal refusal) throws IOException {
        if (out == null) {
            JsonResponses.sendRefusal(exchange, refusal);
            return;
        }
        out.write(CompletionWriter.errorEvent(refusal));
        out.close();
    }

    @Override
    public void onIdle() throws IOException {
        if (out == null) {
            // The status isn't known yet, so no keep-alive comment may be written to detect a closed connection.
            new CallerDisconnectDetector(exchange).checkConnected();
            return;
        }
        write(KEEP_ALIVE_COMMENT);
    }

    private void write(byte[] event) throws IOException {
        if (out == null) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
            exchange.startBlocking();
            out = exchange.getOutputStream();
        }
        out.write(event);
        out.flush();
    }
}
