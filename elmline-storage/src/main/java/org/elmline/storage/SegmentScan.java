package org.elmline.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The content of one segment.
 *
 * @param validBytes length up to the end of the last valid record before any corruption, in bytes
 * @param fileBytes length of the file in bytes
 * @param corruption null when all records are valid, or when only a tail that was never synced is torn
 */
record SegmentScan(String file, List<LogRecord> records, int validBytes, int fileBytes, Corruption corruption) {
    /**
     * Reads a segment. An invalid record in the last batch is a torn tail: the process or the host died before the
     * sync, so the batch was never acknowledged and can be truncated. An invalid record that a later batch follows was
     * synced: an acknowledged write is damaged, and truncating it would lose a vote or an entry that other replicas
     * rely on.
     */
    static SegmentScan of(String file, byte[] bytes, long sequence) {
        ByteBuffer from = ByteBuffer.wrap(bytes);
        Corruption header = SegmentFile.headerCorruption(file, from, sequence);
        if (header != null) {
            return new SegmentScan(file, List.of(), 0, bytes.length, header);
        }
        List<LogRecord> records = new ArrayList<>();
        int offset = SegmentFile.HEADER_BYTES;
        for (Frame next = Frame.read(from, offset); next != null; next = Frame.read(from, offset)) {
            records.add(next.record());
            offset = next.endOffset();
        }
        Corruption corruption = null;
        if (offset < bytes.length && laterBatchFollows(from, offset)) {
            corruption = new Corruption(file, offset, "a synced record is damaged");
        }
        return new SegmentScan(file, records, offset, bytes.length, corruption);
    }

    private static boolean laterBatchFollows(ByteBuffer from, int invalidOffset) {
        for (int i = invalidOffset + 1; i <= from.limit() - Frame.HEADER_BYTES; i++) {
            Frame found = Frame.read(from, i);
            if (found != null && found.batchOffset() > invalidOffset) {
                return true;
            }
        }
        return false;
    }

    boolean isTorn() {
        return corruption == null && validBytes < fileBytes;
    }

    /** Highest index of any entry, 0 without entries. */
    long maxIndex() {
        long max = 0;
        for (LogRecord each : records) {
            if (each.type() == RecordType.ENTRY) {
                max = Math.max(max, each.entryIndex());
            }
        }
        return max;
    }
}
