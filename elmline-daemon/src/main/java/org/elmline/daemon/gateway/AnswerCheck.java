package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HttpString;
import org.elmline.daemon.http.AnswerSyntax;
import org.elmline.daemon.http.CountedSource;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails the reading of answers that break the syntax of HTTP, before the HTTP client parses them. Used on the I/O thread
 * only.
 */
final class AnswerCheck extends CountedSource {
    private static final AttachmentKey<AnswerCheck> KEY = AttachmentKey.create(AnswerCheck.class);

    private final AnswerSyntax syntax = new AnswerSyntax();

    AnswerCheck(StreamSourceConduit next) {
        super(next);
    }

    void attachTo(ClientConnection connection) {
        if (connection instanceof Attachable attachable) {
            attachable.putAttachment(KEY, this);
        }
    }

    /** Records that a request with this method is sent on a connection. */
    static void expectAnswer(ClientConnection connection, HttpString method) {
        AnswerCheck check = connection instanceof Attachable attachable ? attachable.getAttachment(KEY) : null;
        if (check != null) {
            check.syntax.expectAnswer(method.toString());
        }
    }

    @Override
    protected void onRead(long count) {
        // The syntax is that of the bytes, whatever their number.
    }

    @Override
    protected void onBytes(ByteBuffer buffer, int from) throws IOException {
        syntax.check(buffer, from, buffer.position());
    }
}
