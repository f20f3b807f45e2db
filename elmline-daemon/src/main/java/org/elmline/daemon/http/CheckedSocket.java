package org.elmline.daemon.http;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A connection of an HTTP client on which reading fails once an answer is malformed or may have been cut. */
final class CheckedSocket extends Socket {
    private final AnswerSyntax syntax = new AnswerSyntax();
    private volatile boolean writeFailed;

    /**
     * Expects an answer to a request that is sent next.
     *
     * @throws IOException if bytes have arrived already, which would be taken for it
     */
    void expectAnswer(String method) throws IOException {
        if (syntax.hasSurplus() || super.getInputStream().available() > 0) {
            throw new IOException("bytes have arrived before the request");
        }
        syntax.expectAnswer(method);
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public InputStream getInputStream() throws IOException {
        return new CheckedInput(super.getInputStream());
    }

    @Override
    @SuppressWarnings("checkstyle:RegexpSingleline")
    public OutputStream getOutputStream() throws IOException {
        return new WatchedOutput(super.getOutputStream());
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
            if (count < 0 && writeFailed) {
                // The failed write has taken the error of a reset, so that the end looks like a close.
                throw new IOException("the connection failed while the request was sent");
            }
            if (count > 0) {
                syntax.check(ByteBuffer.wrap(bytes), from, from + count);
            }
            return count;
        }
    }

    private final class WatchedOutput extends FilterOutputStream {
        WatchedOutput(OutputStream out) {
            super(out);
        }

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) throws IOException {
            try {
                out.write(bytes, from, length);
            } catch (IOException e) {
                writeFailed = true;
                throw e;
            }
        }
    }
}
