package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a streamed answer to the caller as it arrives and reports when the caller reads more slowly than the server
 * sends. Used on the I/O thread only.
 */
final class CallerChannel {
    private final HttpServerExchange exchange;
    private final CallMemory memory;
    private final StreamSinkChannel sink;
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private final Runnable onWritable;
    private final Runnable onEnd;
    private int pendingBytes;
    private boolean awaitsRoom;
    private boolean writing;
    private boolean completing;
    private boolean closed;

    /**
     * @param onWritable called when all pending bytes are written after {@link #write} has returned false
     * @param onEnd called once, when the last byte is written or the connection to the caller is closed
     */
    CallerChannel(HttpServerExchange exchange, CallMemory memory, Runnable onWritable, Runnable onEnd) {
        this.exchange = exchange;
        this.memory = memory;
        this.sink = exchange.getResponseChannel();
        this.onWritable = onWritable;
        this.onEnd = onEnd;
        memory.writesTo(this);
        sink.getWriteSetter().set((ChannelListener<StreamSinkChannel>) each -> flushPending());
    }

    /** Writes bytes now or later. Returns false when no more should be read before those that are pending are written. */
    boolean write(byte[] bytes) {
        if (closed) {
            return true;
        }
        pending.add(ByteBuffer.wrap(bytes));
        pendingBytes += bytes.length;
        writing = true;
        flushPending();
        writing = false;
        awaitsRoom |= !closed && !memory.mayReadAhead(pendingBytes);
        return !awaitsRoom;
    }

    /** Writes a whole answer and ends it as complete. */
    void sendAll(List<ByteBuffer> buffers) {
        for (ByteBuffer each : buffers) {
            pending.add(each);
            pendingBytes += each.remaining();
        }
        complete();
    }

    /** Bytes that the caller's socket has not accepted. */
    int pendingBytes() {
        return pendingBytes;
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
            dropPending();
            IoUtils.safeClose(exchange.getConnection());
            onEnd.run();
        }
    }

    private void flushPending() {
        if (closed) {
            return;
        }
        try {
            int pendingBefore = pendingBytes;
            boolean allWritten = writePending();
            memory.onUnreadChanged(pendingBytes < pendingBefore);
            if (!allWritten || !sink.flush()) {
                sink.resumeWrites();
                return;
            }
            if (completing && !finish()) {
                sink.resumeWrites();
                return;
            }
            sink.suspendWrites();
            if (awaitsRoom && !closed) {
                awaitsRoom = false;
                reportWritable();
            }
        } catch (IOException e) {
            abort();
        }
    }

    /** Reports later during a write, whose sender may have more to write before it reads on. */
    private void reportWritable() {
        if (writing) {
            exchange.getIoThread().execute(onWritable);
        } else {
            onWritable.run();
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

    private void dropPending() {
        pending.clear();
        pendingBytes = 0;
        memory.onUnreadChanged(false);
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
