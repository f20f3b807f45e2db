package org.elmline.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What one segment holds.
 *
 * @param goodLength bytes up to the end of the last whole record before any damage
 * @param length bytes of the file
 * @param damage null when all is whole, or when only a tail that was never synced is torn
 */
record SegmentScan(String file, List<Record> records, int goodLength, int length, Damage damage) {
    /**
     * Reads a segment. A broken record whose batch was the last one written is a torn tail: the process or the host
     * died before its sync, nothing was answered on the strength of it, and it may go. When a later batch follows, the
     * broken one had been synced: an acknowledged write is lost, and cutting it off would let the replica forget a vote
     * or an entry that others count on.
     */
    static SegmentScan of(String file, byte[] bytes, long sequence) {
        ByteBuffer from = ByteBuffer.wrap(bytes);
        Damage header = SegmentFile.headerDamage(file, from, sequence);
        if (header != null) {
            return new SegmentScan(file, List.of(), 0, bytes.length, header);
        }
        List<Record> records = new ArrayList<>();
        int offset = SegmentFile.HEADER;
        for (Frame next = Frame.read(from, offset); next != null; next = Frame.read(from, offset)) {
            records.add(next.record());
            offset = next.end();
        }
        Damage damage = null;
        if (offset < bytes.length && laterBatchFollows(from, offset)) {
            damage = new Damage(file, offset, "a synced record is damaged");
        }
        return new SegmentScan(file, records, offset, bytes.length, damage);
    }

    private static boolean laterBatchFollows(ByteBuffer from, int broken) {
        for (int i = broken + 1; i <= from.limit() - Frame.HEADER; i++) {
            Frame found = Frame.read(from, i);
            if (found != null && found.batchStart() > broken) {
                return true;
            }
        }
        return false;
    }

    boolean torn() {
        return damage == null && goodLength < length;
    }

    /** Highest index of any entry, 0 without entries. */
    long maxIndex() {
        long max = 0;
        for (Record each : records) {
            if (each.type() == RecordType.ENTRY) {
                max = Math.max(max, each.entryIndex());
            }
        }
        return max;
    }
}
