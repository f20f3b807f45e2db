package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * The segment that is being written. The file starts with long magic and long sequence number; records in the format of
 * {@link Frame} follow. The first record is the hard state, so that older segments can be deleted. Files are named
 * {@code log-SEQUENCE.seg} with 16 hex digits and are created atomically, by renaming.
 */
final class SegmentFile implements AutoCloseable {
    static final int HEADER_BYTES = 2 * Long.BYTES;

    private static final long MAGIC = 0x454c_4d4c_4f47_0001L;
    private static final String PREFIX = "log-";
    private static final String SUFFIX = ".seg";
    private static final int HEX_DIGITS = 16;
    private static final int HEX_RADIX = 16;

    private final FileOperations.OutputFile file;
    private int length;

    private SegmentFile(FileOperations.OutputFile file, int length) {
        this.file = file;
        this.length = length;
    }

    static boolean isSegmentName(String name) {
        return name.matches(PREFIX + "[0-9a-f]{" + HEX_DIGITS + "}\\" + SUFFIX);
    }

    static String fileName(long sequence) {
        return String.format("%s%016x%s", PREFIX, sequence, SUFFIX);
    }

    static long sequenceOf(String name) {
        return Long.parseUnsignedLong(name.substring(PREFIX.length(), name.length() - SUFFIX.length()), HEX_RADIX);
    }

    /** Returns the corruption of a segment's header, null when the header is valid. */
    static Corruption headerCorruption(String file, ByteBuffer bytes, long sequence) {
        if (bytes.limit() < HEADER_BYTES) {
            return new Corruption(file, bytes.limit(), "the segment's header is cut off");
        }
        if (bytes.getLong(0) != MAGIC) {
            return new Corruption(file, 0, "not a segment of this version");
        }
        return bytes.getLong(Long.BYTES) == sequence
                ? null
                : new Corruption(file, Long.BYTES, "not the named sequence");
    }

    /** Creates and syncs a segment that starts with the given records. */
    static SegmentFile create(FileOperations files, Path folder, long sequence, List<LogRecord> first)
            throws IOException {
        int length = HEADER_BYTES + first.stream().mapToInt(Frame::length).sum();
        ByteBuffer bytes = ByteBuffer.allocate(length).putLong(MAGIC).putLong(sequence);
        first.forEach(each -> Frame.write(bytes, HEADER_BYTES, each));
        Path path = folder.resolve(fileName(sequence));
        AtomicFile.write(files, path, bytes.flip());
        return new SegmentFile(files.open(path), length);
    }

    /**
     * Appends and syncs one batch. On a full disk, nothing of the batch is kept; after any other failure the file must
     * not be used.
     */
    void append(List<LogRecord> batch) throws IOException {
        int bytes = batch.stream().mapToInt(Frame::length).sum();
        ByteBuffer buffer = ByteBuffer.allocate(bytes);
        batch.forEach(each -> Frame.write(buffer, length, each));
        try {
            file.write(buffer.flip());
        } catch (DiskFullException e) {
            file.truncate(length);
            throw e;
        }
        // A failed sync may have dropped the pages that it could not write; a second sync would then report success
        // for bytes that are not on the disk. So a sync is never retried on this file.
        file.sync();
        length += bytes;
    }

    int length() {
        return length;
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
