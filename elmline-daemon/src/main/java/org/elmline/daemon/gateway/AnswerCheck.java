package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.elmline.daemon.http.AnswerSyntax;
import org.elmline.daemon.http.CountedSource;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Fails the reading of answers that break the syntax of HTTP, before the HTTP client parses them. Used on the I/O thread
 * only.
 */
final class AnswerCheck extends CountedSource {
    private final AnswerSyntax syntax = new AnswerSyntax();

    AnswerCheck(StreamSourceConduit next) {
        super(next);
    }

    /** Records that a request with this method is sent. */
    void expectAnswer(String method) {
        syntax.expectAnswer(method);
    }

    @Override
    protected void onBytes(ByteBuffer buffer, int from) throws IOException {
        syntax.check(buffer, from, buffer.position());
    }
}
