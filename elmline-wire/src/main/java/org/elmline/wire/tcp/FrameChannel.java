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

    /** Room for a few messages of the usual size; one that is larger gets its own for as long as it comes. */
    private static final int READ_BYTES = 4_096;

    private final AsynchronousSocketChannel socket;
    private final PeerLimits limits;
    private final Consumer<byte[]> onFrame;
    private final Consumer<String> onClose;
    private final Deque<ByteBuffer> queue = new ArrayDeque<>();
    private ByteBuffer received = ByteBuffer.allocate(READ_BYTES);
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
        read();
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

    /** Reads what there is, and hands on each frame that is whole; most are, so that a frame costs one read. */
    private void read() {
        socket.read(received, received, new Completion() {
            @Override
            void done(int count, ByteBuffer buffer) {
                if (count < 0) {
                    close("closed by the other side");
                    return;
                }
                buffer.flip();
                handOn();
                if (makeRoom()) {
                    read();
                }
            }
        });
    }

    private void handOn() {
        while (!closed() && received.remaining() >= HEADER_BYTES) {
            int length = received.getInt(received.position());
            if (!fits(length) || received.remaining() - HEADER_BYTES < length) {
                return;
            }
            byte[] frame = new byte[length];
            received.position(received.position() + HEADER_BYTES);
            received.get(frame);
            onFrame.accept(frame);
        }
    }

    private synchronized boolean closed() {
        return closed;
    }

    private boolean fits(int length) {
        return length > 0 && length <= limits.maxFrameBytes();
    }

    /** Makes room for the rest of the frame that has begun. False when it is none, and the connection closed. */
    private boolean makeRoom() {
        int length = received.remaining() >= HEADER_BYTES ? received.getInt(received.position()) : 1;
        if (!fits(length)) {
            close("frame of " + length + " bytes; 1 to " + limits.maxFrameBytes() + " are allowed");
            return false;
        }
        int wanted = Math.max(READ_BYTES, HEADER_BYTES + length);
        if (wanted > received.capacity() || received.capacity() > READ_BYTES && wanted == READ_BYTES) {
            received = ByteBuffer.allocate(wanted).put(received);
        } else {
            received.compact();
        }
        return true;
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
