package org.elmline.daemon.node;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpAttachments;
import org.elmline.daemon.http.CountedSource;
import org.xnio.Buffers;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * One connection of a client as its {@link ConnectionGuard} sees it: what it holds, and since when it waits for its client.
 * Used on the I/O thread only.
 */
final class GuardedConnection {
    /** Heap bytes for each byte of a request's head, which is kept as strings. */
    private static final int HEAP_PER_HEAD_BYTE = 2;

    /** The same for bytes between the data of chunks, where the shortest trailer of four bytes costs most. */
    private static final int HEAP_PER_FRAMING_BYTE = 40;

    private final ConnectionGuard guard;
    private final StreamConnection connection;
    private final PortRole role;
    private Phase phase = Phase.HEAD;
    private long phaseSinceNanos;
    private long progressAtNanos;
    private long headSinceNanos;
    private boolean chunked;
    private boolean bodyProgressed;
    private long lastReadBytes;
    private long elementBytes;
    private long bodyBytes;
    private long answerBytes;
    private long countedBytes;

    /** What a connection waits for. */
    enum Phase {
        /** The next request's head; also that of the first request. */
        HEAD(true),
        /** The rest of a request's body. */
        BODY(true),
        /** The process itself. */
        ANSWER(false),
        /** A client that does not read its answer. */
        BLOCKED(true);

        private final boolean waitsForClient;

        Phase(boolean waitsForClient) {
            this.waitsForClient = waitsForClient;
        }

        boolean waitsForClient() {
            return waitsForClient;
        }
    }

    GuardedConnection(ConnectionGuard guard, StreamConnection connection, PortRole role, long now) {
        this.guard = guard;
        this.connection = connection;
        this.role = role;
        this.phaseSinceNanos = now;
        this.progressAtNanos = now;
    }

    /** Sees all bytes from now on. */
    void attach() {
        connection
                .getSourceChannel()
                .setConduit(new Source(connection.getSourceChannel().getConduit()));
        connection
                .getSinkChannel()
                .setConduit(new Sink(connection.getSinkChannel().getConduit()));
    }

    StreamConnection connection() {
        return connection;
    }

    PortRole role() {
        return role;
    }

    Phase phase() {
        return phase;
    }

    long phaseNanos(long now) {
        return now - phaseSinceNanos;
    }

    /** Nanoseconds since the first byte of a head that is not complete; 0 without one. */
    long headNanos(long now) {
        return elementBytes == 0 ? 0 : now - headSinceNanos;
    }

    /** Nanoseconds without a byte from or to the client. */
    long idleNanos(long now) {
        return now - Math.max(progressAtNanos, phaseSinceNanos);
    }

    /** Bytes without the data of bodies that were received in a row. */
    long elementBytes() {
        return elementBytes;
    }

    /** Bytes that the connection holds on the heap, by estimate, without those of other accounts. */
    long heldBytes() {
        int heapPerByte = phase == Phase.BODY && chunked ? HEAP_PER_FRAMING_BYTE : HEAP_PER_HEAD_BYTE;
        return elementBytes * heapPerByte + bodyBytes + answerBytes;
    }

    /** The held bytes that the guard has in its sum. */
    long countedBytes() {
        return countedBytes;
    }

    void counted(long bytes) {
        countedBytes = bytes;
    }

    /** A request's head is complete. */
    void begin(HttpServerExchange exchange) {
        elementBytes = 0;
        if (exchange.isRequestComplete()) {
            enter(Phase.ANSWER);
        } else {
            chunked = exchange.getRequestContentLength() < 0;
            elementBytes = chunked ? lastReadBytes : 0;
            exchange.addRequestWrapper((factory, each) -> new Body(factory.create(), each));
            enter(Phase.BODY);
        }
        if (role.countsMessages()) {
            exchange.addResponseCommitListener(this::onAnswerBegins);
        }
        exchange.addExchangeCompleteListener((ended, next) -> {
            end();
            next.proceed();
        });
    }

    private void onAnswerBegins(HttpServerExchange exchange) {
        answerBytes = Math.max(0, exchange.getResponseContentLength());
        guard.onChange(this);
    }

    private void end() {
        elementBytes = 0;
        bodyBytes = 0;
        answerBytes = 0;
        chunked = false;
        enter(Phase.HEAD);
    }

    private void enter(Phase next) {
        phase = next;
        phaseSinceNanos = guard.now();
        guard.onPhase(this);
    }

    private void onReceived(long count) throws IOException {
        if (bodyProgressed) {
            // What the last read brought beside data of the body may belong to an element that is not complete yet.
            bodyProgressed = false;
            elementBytes = lastReadBytes;
        }
        lastReadBytes = Math.max(0, count);
        if (count > 0) {
            progressAtNanos = guard.now();
            if (elementBytes == 0) {
                headSinceNanos = progressAtNanos;
            }
            elementBytes += count;
            check();
        }
    }

    private void onBody(long count) throws IOException {
        bodyProgressed = true;
        lastReadBytes = Math.max(0, lastReadBytes - count);
        elementBytes = chunked ? lastReadBytes : 0;
        if (role.countsMessages()) {
            bodyBytes += count;
        }
        check();
    }

    private void check() throws IOException {
        if (!guard.onChange(this)) {
            throw new IOException("the client sends or holds too much");
        }
    }

    private void onBodyEnd(HttpServerExchange exchange) {
        exchange.removeAttachment(HttpAttachments.REQUEST_TRAILERS);
        elementBytes = 0;
        if (phase == Phase.BODY) {
            enter(Phase.ANSWER);
        }
    }

    private void onSent(long count, boolean remains) {
        if (count > 0) {
            progressAtNanos = guard.now();
        }
        if (remains && phase == Phase.ANSWER) {
            enter(Phase.BLOCKED);
        } else if (phase == Phase.BLOCKED && (count > 0 || !remains)) {
            enter(remains ? Phase.BLOCKED : Phase.ANSWER);
        }
    }

    /** Counts all bytes of the client. */
    private final class Source extends CountedSource {
        Source(StreamSourceConduit next) {
            super(next);
        }

        @Override
        protected void onRead(long count) throws IOException {
            onReceived(count);
        }
    }

    /** Counts the data of a request's body. */
    private final class Body extends CountedSource {
        private final HttpServerExchange exchange;

        Body(StreamSourceConduit next, HttpServerExchange exchange) {
            super(next);
            this.exchange = exchange;
        }

        @Override
        protected void onRead(long count) throws IOException {
            if (count < 0) {
                onBodyEnd(exchange);
            } else if (count > 0) {
                onBody(count);
            }
        }
    }

    /** Sees whether the client reads. */
    private final class Sink extends AbstractStreamSinkConduit<StreamSinkConduit> {
        Sink(StreamSinkConduit next) {
            super(next);
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            int count = next.write(source);
            onSent(count, source.hasRemaining());
            return count;
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            long count = next.write(sources, offset, length);
            onSent(count, Buffers.hasRemaining(sources, offset, length));
            return count;
        }

        @Override
        public int writeFinal(ByteBuffer source) throws IOException {
            int count = next.writeFinal(source);
            onSent(count, source.hasRemaining());
            return count;
        }

        @Override
        public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
            long count = next.writeFinal(sources, offset, length);
            onSent(count, Buffers.hasRemaining(sources, offset, length));
            return count;
        }
    }
}
