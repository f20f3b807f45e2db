package org.elmline.daemon.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Bytes that are collected in chunks. Unlike a growing array they are never copied to a larger one, so that a large body
 * takes its own length in memory and not several times as much. Not safe for concurrent use.
 */
public final class ByteChunks {
    /** Smallest chunk: a sender may send its body byte by byte, and each chunk has a header of its own. */
    private static final int MIN_CHUNK_BYTES = 256;

    /** Largest chunk; equals one read from a socket, so that one read adds one chunk at most. */
    private static final int MAX_CHUNK_BYTES = 8 * 1024;

    private final List<ByteBuffer> chunks = new ArrayList<>();
    private int length;
    private int capacity;

    /** Chunks that hold these bytes, which are not copied. */
    public static ByteChunks of(byte[] bytes) {
        ByteChunks result = new ByteChunks();
        if (bytes.length > 0) {
            result.chunks.add(ByteBuffer.wrap(bytes).position(bytes.length));
        }
        result.length = bytes.length;
        result.capacity = bytes.length;
        return result;
    }

    /** Appends the remaining bytes of a buffer. */
    public void append(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            ByteBuffer last = lastWithRoom(bytes.remaining());
            int count = Math.min(last.remaining(), bytes.remaining());
            last.put(bytes.slice(bytes.position(), count));
            bytes.position(bytes.position() + count);
            length += count;
        }
    }

    private ByteBuffer lastWithRoom(int wanted) {
        ByteBuffer last = chunks.isEmpty() ? null : chunks.get(chunks.size() - 1);
        if (last != null && last.hasRemaining()) {
            return last;
        }
        int size = chunkSize(wanted, length);
        ByteBuffer next = ByteBuffer.allocate(size);
        chunks.add(next);
        capacity += size;
        return next;
    }

    private static int chunkSize(int wanted, int lengthSoFar) {
        return Math.max(MIN_CHUNK_BYTES, Math.min(MAX_CHUNK_BYTES, Math.max(wanted, lengthSoFar)));
    }

    /** Bytes by which the capacity grows when as many as one read gives are appended. */
    public int growth(int appended) {
        int room = chunks.isEmpty() ? 0 : chunks.get(chunks.size() - 1).remaining();
        return appended <= room ? 0 : chunkSize(appended - room, length + room);
    }

    /** Number of bytes collected. */
    public int length() {
        return length;
    }

    /** Bytes of memory that the chunks take. */
    public int capacity() {
        return capacity;
    }

    /** The bytes, to be read once from each list of buffers; they are not copied. */
    public List<ByteBuffer> buffers() {
        List<ByteBuffer> buffers = new ArrayList<>(chunks.size());
        chunks.forEach(each -> buffers.add(each.duplicate().flip()));
        return buffers;
    }

    /** Returns the bytes as {@link #buffers} does and keeps none of them. */
    public List<ByteBuffer> takeBuffers() {
        List<ByteBuffer> buffers = buffers();
        clear();
        return buffers;
    }

    /** Drops all bytes. */
    public void clear() {
        chunks.clear();
        length = 0;
        capacity = 0;
    }

    /** A copy of the bytes. */
    public byte[] toByteArray() {
        byte[] bytes = new byte[length];
        ByteBuffer all = ByteBuffer.wrap(bytes);
        buffers().forEach(all::put);
        return bytes;
    }
}
