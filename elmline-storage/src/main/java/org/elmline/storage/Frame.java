package org.elmline.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The format of a record in a segment, big-endian: int length of the payload, int CRC32C of everything after it, int
 * offset at which the record's batch starts, byte type, payload. Everything before the start of a batch was synced
 * before the batch was written, which distinguishes a torn tail from corruption.
 */
record Frame(int batchOffset, LogRecord record, int endOffset) {
    static final int HEADER_BYTES = 3 * Integer.BYTES + 1;

    private static final int CRC_END_OFFSET = 2 * Integer.BYTES;

    static int length(LogRecord record) {
        return HEADER_BYTES + record.payload().length;
    }

    static void write(ByteBuffer to, int batchStart, LogRecord record) {
        int start = to.position();
        to.putInt(record.payload().length).putInt(0).putInt(batchStart);
        to.put(record.type().code()).put(record.payload());
        to.putInt(start + Integer.BYTES, checksum(to.array(), start + CRC_END_OFFSET, to.position()));
    }

    /** Reads the frame that starts at an offset; null when there is no complete and valid one. */
    static Frame read(ByteBuffer from, int start) {
        if (from.limit() - start < HEADER_BYTES) {
            return null;
        }
        int length = from.getInt(start);
        int batchStart = from.getInt(start + CRC_END_OFFSET);
        RecordType type = RecordType.ofCode(from.get(start + HEADER_BYTES - 1));
        boolean plausible = length >= 0
                && length <= from.limit() - start - HEADER_BYTES
                && type != null
                && batchStart >= 0
                && batchStart <= start;
        if (!plausible) {
            return null;
        }
        int end = start + HEADER_BYTES + length;
        if (from.getInt(start + Integer.BYTES) != checksum(from.array(), start + CRC_END_OFFSET, end)) {
            return null;
        }
        byte[] payload = new byte[length];
        from.get(start + HEADER_BYTES, payload);
        return new Frame(batchStart, new LogRecord(type, payload), end);
    }

    private static int checksum(byte[] bytes, int from, int until) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, until - from);
        return (int) crc.getValue();
    }
}
