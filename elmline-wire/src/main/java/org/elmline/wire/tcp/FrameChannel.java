package org.elmline.wire.tcp;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Frames over one TCP connection: four bytes of length, big-endian, then that many bytes. Never blocks the caller.
 *
 * <p>Both directions are bounded: a frame longer than the limit closes the connection before it is read into memory,
 * and a peer that does not read lets the queue fill up, after which {@link #send} refuses.
 */
final class FrameChannel {
    private static final int HEADER_BYTES = Integer.BYTES;

    private final AsynchronousSocketChannel socket;
    private final PeerLimits limits;
    private final Consumer<byte[]> onFrame;
    private final Consumer<String> onClose;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private int queuedBytes;
    private boolean writing;
    private boolean closed;

    FrameChannel(
            AsynchronousSocketChannel socket, PeerLimits limits, Consumer<byte[]> onFrame, Consumer<String> onClose) {
        this.socket = socket;
        this.limits = limits;
        this.onFrame = onFrame;
        this.onClose = onClose;
    }

    void start() {
        readHeader();
    }

    /** Queues a frame; false when it is too long, the queue is full or the connection has ended. */
    boolean send(byte[] frame) {
        if (frame.length > limits.maxFrameBytes()) {
            return false;
        }
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + frame.length);
        buffer.putInt(frame.length).put(frame).flip();
        synchronized (this) {
            if (closed || queuedBytes + buffer.remaining() > limits.maxQueuedBytes()) {
                return false;
            }
            queuedBytes += buffer.remaining();
            queue.add(buffer);
            if (writing) {
                return true;
            }
            writing = true;
        }
        writeNext();
        return true;
    }

    void close(String why) {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            queue.clear();
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is given up either way.
        }
        onClose.accept(why);
    }

    private void writeNext() {
        ByteBuffer next;
        synchronized (this) {
            next = queue.peek();
            if (next == null || closed) {
                writing = false;
                return;
            }
        }
        socket.write(next, next, new Completion() {
            @Override
            void done(int count, ByteBuffer buffer) {
                if (!buffer.hasRemaining()) {
                    remove(buffer);
                }
                writeNext();
            }
        });
    }

    private synchronized void remove(ByteBuffer written) {
        if (queue.poll() != null) {
            queuedBytes -= written.capacity();
        }
    }

    private void readHeader() {
        readFully(ByteBuffer.allocate(HEADER_BYTES), header -> {
            int length = header.getInt(0);
            if (length < 0 || length > limits.maxFrameBytes()) {
                close("frame of " + length + " bytes is over the limit of " + limits.maxFrameBytes());
                return;
            }
            readBody(length);
        });
    }

    private void readBody(int length) {
        if (length == 0) {
            close("empty frame");
            return;
        }
        readFully(ByteBuffer.allocate(length), body -> {
            onFrame.accept(body.array());
            readHeader();
        });
    }

    private void readFully(ByteBuffer into, Consumer<ByteBuffer> then) {
        socket.read(into, into, new Completion() {
            @Override
            void done(int count, ByteBuffer buffer) {
                if (count < 0) {
                    close("closed by the other side");
                    return;
                }
                if (buffer.hasRemaining()) {
                    readFully(buffer, then);
                    return;
                }
                then.accept(buffer);
            }
        });
    }

    /** Ends the connection on any failure, so that the two directions share one way out. */
    private abstract class Completion implements CompletionHandler<Integer, ByteBuffer> {
        abstract void done(int count, ByteBuffer buffer);

        @Override
        public void completed(Integer count, ByteBuffer buffer) {
            try {
                done(count, buffer);
            } catch (RuntimeException e) {
                close("broken frame: " + e.getMessage());
            }
        }

        @Override
        public void failed(Throwable e, ByteBuffer buffer) {
            close(String.valueOf(e.getMessage()));
        }
    }
}
