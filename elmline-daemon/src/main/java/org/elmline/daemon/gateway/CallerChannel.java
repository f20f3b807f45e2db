package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a streamed answer to the caller as it arrives and reports when the caller reads more slowly than the server
 * sends. Used on the I/O thread only.
 */
final class CallerChannel {
    /** Bytes that wait for a slow caller before reading from the server is suspended. */
    private static final int MAX_PENDING_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;
    private final StreamSinkChannel sink;
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private final Runnable onWritable;
    private final Runnable onEnd;
    private int pendingBytes;
    private boolean completing;
    private boolean closed;

    /**
     * @param onWritable called when a flush has written all pending bytes, and there were {@link #MAX_PENDING_BYTES} or
     *     more of them before it
     * @param onEnd called once, when the last byte is written or the connection to the caller is closed
     */
    CallerChannel(HttpServerExchange exchange, Runnable onWritable, Runnable onEnd) {
        this.exchange = exchange;
        this.sink = exchange.getResponseChannel();
        this.onWritable = onWritable;
        this.onEnd = onEnd;
        sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) each -> flushPending());
    }

    /** Writes bytes now or later. Returns false when {@link #MAX_PENDING_BYTES} or more are pending. */
    boolean write(byte[] bytes) {
        if (closed) {
            return true;
        }
        pending.add(ByteBuffer.wrap(bytes));
        pendingBytes += bytes.length;
        flushPending();
        return pendingBytes < MAX_PENDING_BYTES;
    }

    /** Ends the answer as complete. */
    void complete() {
        completing = true;
        flushPending();
    }

    /** Closes the connection, by which the caller can tell that the answer is incomplete. */
    void abort() {
        if (!closed) {
            closed = true;
            IoUtils.safeClose(exchange.getConnection());
            onEnd.run();
        }
    }

    private void flushPending() {
        if (closed) {
            return;
        }
        try {
            boolean wasFull = pendingBytes >= MAX_PENDING_BYTES;
            if (!writePending() || !sink.flush()) {
                sink.resumeWrites();
                return;
            }
            if (completing && !finish()) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            if (wasFull && !closed) {
                onWritable.run();
            }
        } catch (IOException e) {
            abort();
        }
    }

    private boolean writePending() throws IOException {
        while (!pending.isEmpty()) {
            ByteBuffer next = pending.peek();
            int remainingBefore = next.remaining();
            sink.write(next);
            pendingBytes -= remainingBefore - next.remaining();
            if (next.hasRemaining()) {
                return false;
            }
            pending.poll();
        }
        return true;
    }

    private boolean finish() throws IOException {
        sink.shutdownWrites();
        if (!sink.flush()) {
            return false;
        }
        closed = true;
        exchange.endExchange();
        onEnd.run();
        return true;
    }
}
