package org.elmline.daemon.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A connection of an HTTP client on which reading fails once an answer is malformed. */
final class CheckedSocket extends Socket {
    private final AnswerSyntax syntax = new AnswerSyntax();

    /** Expects an answer to a request that is sent next. */
    void expectAnswer(String method) {
        syntax.expectAnswer(method);
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public InputStream getInputStream() throws IOException {
        return new CheckedInput(super.getInputStream());
    }

    private final class CheckedInput extends FilterInputStream {
        CheckedInput(InputStream in) {
            super(in);
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            int count = super.read(bytes, from, length);
            if (count > 0) {
                syntax.check(ByteBuffer.wrap(bytes), from, from + count);
            }
            return count;
        }
    }
}
