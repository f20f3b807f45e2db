package org.elmline.core.raft;

import java.util.Arrays;

/**
 * One entry of the log. The data array is shared, not copied, and must not be modified.
 *
 * @param index position in the log, starting at 1
 * @param term term of the leader that appended the entry, starting at 1
 * @param data payload, whose format depends on the kind; null is replaced by an empty array
 */
public record Entry(long index, long term, EntryKind kind, byte[] data) {
    /** Bytes added to the data length of each entry wherever a limit in bytes applies. */
    public static final int OVERHEAD_BYTES = 32;

    private static final byte[] EMPTY_DATA = new byte[0];

    public Entry {
        if (index < 1 || term < 1 || kind == null) {
            throw new IllegalArgumentException("entry without index, term or kind: " + index + "/" + term);
        }
        data = data == null ? EMPTY_DATA : data;
    }

    static Entry startOfTerm(long index, long term) {
        return new Entry(index, term, EntryKind.START_OF_TERM, EMPTY_DATA);
    }

    static Entry membership(long index, long term, Membership membership) {
        return new Entry(index, term, EntryKind.MEMBERSHIP, membership.toBytes());
    }

    /** Size in bytes as counted against limits: the data and {@link #OVERHEAD_BYTES}. */
    public int sizeBytes() {
        return data.length + OVERHEAD_BYTES;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Entry that
                && index == that.index
                && term == that.term
                && kind == that.kind
                && Arrays.equals(data, that.data);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(index * 31 + term);
    }

    @Override
    public String toString() {
        return index + "/" + term + " " + kind + " " + data.length + " bytes";
    }
}
