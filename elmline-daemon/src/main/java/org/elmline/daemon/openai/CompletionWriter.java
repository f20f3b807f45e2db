package org.elmline.daemon.openai;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RequestId;
import org.elmline.core.engine.FinishReason;
import org.elmline.daemon.http.ErrorBody;
import org.elmline.wire.codec.Codecs;

/** Writes the answer to one request, as one JSON body or as server-sent events. */
public final class CompletionWriter {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final CompletionRequest request;
    private final String id;
    private final long createdSeconds;
    private final int promptTokens;

    public CompletionWriter(CompletionRequest request, RequestId requestId, long createdSeconds, int promptTokens) {
        this.request = request;
        this.id = request.api().idPrefix() + requestId;
        this.createdSeconds = createdSeconds;
        this.promptTokens = promptTokens;
    }

    /** The whole answer's body. */
    public byte[] whole(String text, int tokens, FinishReason reason) {
        ObjectNode body = newBody(request.api().wholeObject());
        choice(body, request.api().whole(text), reason);
        usage(body, tokens);
        return Codecs.JSON.encode(body);
    }

    /** The event for one piece. */
    public byte[] piece(String text, boolean first) {
        ObjectNode body = newBody(request.api().pieceObject());
        choice(body, request.api().piece(text, first), null);
        return event(body);
    }

    /** The last events of a complete answer: the finish reason, token counts if requested, and {@code [DONE]}. */
    public byte[] endEvents(int tokens, FinishReason reason) {
        ObjectNode last = newBody(request.api().pieceObject());
        choice(last, request.api().piece("", false), reason);
        byte[] finish = event(last);
        if (!request.includeUsage()) {
            return join(finish, DONE);
        }
        ObjectNode usage = newBody(request.api().pieceObject());
        usage.putArray("choices");
        usage(usage, tokens);
        return join(finish, event(usage), DONE);
    }

    /** The event for an answer that broke off: no {@code [DONE]} follows, so callers can't take it for complete. */
    public static byte[] errorEvent(Refusal refusal) {
        return event(ErrorBody.of(refusal));
    }

    private ObjectNode newBody(String object) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("id", id).put("object", object).put("created", createdSeconds);
        String adapter = request.adapter().isEmpty() ? "" : "@" + request.adapter();
        return body.put("model", request.model() + adapter);
    }

    private static void choice(ObjectNode body, ObjectNode choice, FinishReason reason) {
        choice.put("index", 0);
        choice.put("finish_reason", reason == null ? null : reason.text());
        body.putArray("choices").add(choice);
    }

    private void usage(ObjectNode body, int tokens) {
        body.putObject("usage")
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", tokens)
                .put("total_tokens", promptTokens + tokens);
    }

    private static byte[] event(Object body) {
        byte[] json = Codecs.JSON.encode(body);
        return join("data: ".getBytes(StandardCharsets.UTF_8), json, "\n\n".getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] join(byte[]... parts) {
        java.io.ByteArrayOutputStream joined = new java.io.ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }
}
