package org.elmline.core.raft;

import java.util.Arrays;

/** One position of the log. The bytes are shared, not copied: nobody may change them. */
public record Entry(long index, long term, EntryKind kind, byte[] data) {
    /** Bytes that an entry counts for beyond its data, in every bound on bytes. */
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

    /** What the entry counts for in bounds. */
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
