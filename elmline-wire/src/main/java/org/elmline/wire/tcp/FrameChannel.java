package org.elmline.wire.tcp;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Frames over one TCP connection: four bytes of length, big-endian, then that many bytes. Never blocks the caller.
 *
 * <p>Both directions are bounded: a frame longer than the limit closes the connection before it is read into memory,
 * and when a peer does not read, the write queue fills up and {@link #send} returns false.
 */
final class FrameChannel {
    private static final int HEADER_BYTES = Integer.BYTES;

    /** Holds a few messages of the usual size. A larger frame gets a buffer of its own until it has been read. */
    private static final int READ_BUFFER_BYTES = 4_096;

    private final AsynchronousSocketChannel socket;
    private final PeerLimits limits;
    private final IntSupplier maxReceivedBytes;
    private final Consumer<byte[]> onFrame;
    private final Consumer<String> onClose;
    private final Deque<ByteBuffer> writeQueue = new ArrayDeque<>();
    private ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private int queuedBytes;
    private boolean writing;
    private boolean closed;

    /** @param maxReceivedBytes longest frame that the peer may send at present */
    FrameChannel(
            AsynchronousSocketChannel socket,
            PeerLimits limits,
            IntSupplier maxReceivedBytes,
            Consumer<byte[]> onFrame,
            Consumer<String> onClose) {
        this.socket = socket;
        this.limits = limits;
        this.maxReceivedBytes = maxReceivedBytes;
        this.onFrame = onFrame;
        this.onClose = onClose;
    }

    void start() {
        read();
    }

    /** Queues a frame; returns false when it is too long, the queue is full or the connection has ended. */
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
            writeQueue.add(buffer);
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
            writeQueue.clear();
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is not used again either way.
        }
        onClose.accept(why);
    }

    private void writeNext() {
        ByteBuffer next;
        synchronized (this) {
            next = writeQueue.peek();
            if (next == null || closed) {
                writing = false;
                return;
            }
        }
        socket.write(next, next, new Completion() {
            @Override
            void onCompleted(int count, ByteBuffer buffer) {
                if (!buffer.hasRemaining()) {
                    onWritten(buffer);
                }
                writeNext();
            }
        });
    }

    private synchronized void onWritten(ByteBuffer written) {
        if (writeQueue.poll() != null) {
            queuedBytes -= written.capacity();
        }
    }

    /**
     * Reads the available bytes and delivers every complete frame. Most frames arrive complete, so that a frame costs
     * one read.
     */
    private void read() {
        socket.read(readBuffer, readBuffer, new Completion() {
            @Override
            void onCompleted(int count, ByteBuffer buffer) {
                if (count < 0) {
                    close("closed by the other side");
                    return;
                }
                buffer.flip();
                deliverFrames();
                if (prepareReadBuffer()) {
                    read();
                }
            }
        });
    }

    private void deliverFrames() {
        while (!closed() && readBuffer.remaining() >= HEADER_BYTES) {
            int length = readBuffer.getInt(readBuffer.position());
            if (!isValidLength(length) || readBuffer.remaining() - HEADER_BYTES < length) {
                return;
            }
            byte[] frame = new byte[length];
            readBuffer.position(readBuffer.position() + HEADER_BYTES);
            readBuffer.get(frame);
            onFrame.accept(frame);
        }
    }

    private synchronized boolean closed() {
        return closed;
    }

    private boolean isValidLength(int length) {
        return length > 0 && length <= maxReceivedBytes.getAsInt();
    }

    /**
     * Makes room for the rest of a partly received frame. Returns false when its length is invalid; the connection is
     * closed then.
     */
    private boolean prepareReadBuffer() {
        int length = readBuffer.remaining() >= HEADER_BYTES ? readBuffer.getInt(readBuffer.position()) : 1;
        if (!isValidLength(length)) {
            close("frame of " + length + " bytes; 1 to " + maxReceivedBytes.getAsInt() + " are allowed");
            return false;
        }
        int neededBytes = Math.max(READ_BUFFER_BYTES, HEADER_BYTES + length);
        if (neededBytes > readBuffer.capacity()
                || readBuffer.capacity() > READ_BUFFER_BYTES && neededBytes == READ_BUFFER_BYTES) {
            readBuffer = ByteBuffer.allocate(neededBytes).put(readBuffer);
        } else {
            readBuffer.compact();
        }
        return true;
    }

    /** Closes the connection when a read or a write fails, so that the two directions end in the same way. */
    private abstract class Completion implements CompletionHandler<Integer, ByteBuffer> {
        abstract void onCompleted(int count, ByteBuffer buffer);

        @Override
        public void completed(Integer count, ByteBuffer buffer) {
            try {
                onCompleted(count, buffer);
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
