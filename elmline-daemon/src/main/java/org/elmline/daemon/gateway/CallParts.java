package org.elmline.daemon.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.RequestParts;
import org.elmline.daemon.http.ByteChunks;

/**
 * What speaks against a call when servers end under it: the parts of its prompt that other prompts may share, and the
 * whole request, known by a digest of its content, as each time that a caller sends it has another id. Used on the I/O
 * thread only.
 */
final class CallParts implements RequestParts {
    private static final String ALGORITHM = "SHA-256";

    private HttpServerExchange exchange;
    private final CallHead head;
    private ByteChunks body;
    private PromptPart request;
    private boolean hasEndedServer;

    CallParts(HttpServerExchange exchange, CallHead head, ByteChunks body) {
        this.exchange = exchange;
        this.head = head;
        this.body = body;
    }

    @Override
    public List<PromptPart> shared() {
        return head.sharedParts();
    }

    /** Computed at the first use, as few calls need it; the body must still be there then. */
    @Override
    public PromptPart request() {
        if (request == null) {
            request = PromptPart.ofRequest(HexFormat.of().formatHex(digest()));
            // These parts may be kept for longer than the call, until it is known what became of its server.
            exchange = null;
            body = null;
        }
        return request;
    }

    /** Whether a server has ended under this call. */
    boolean hasEndedServer() {
        return hasEndedServer;
    }

    void setEndedServer() {
        hasEndedServer = true;
    }

    /** The deadline and the last event received are left out: they differ each time that a caller sends the request. */
    private byte[] digest() {
        String text =
                exchange.getRequestMethod() + "\n" + BackendCall.pathAndQuery(exchange) + "\n" + head.partList() + "\n";
        try {
            MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            digest.update(text.getBytes(StandardCharsets.UTF_8));
            for (ByteBuffer each : body.buffers()) {
                digest.update(each);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
