package org.elmline.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

import org.elmline.core.raft.Membership;
import org.elmline.core.raft.Snapshot;

/**
 * The format of a snapshot's file {@code snapshot-INDEX.snap} (16 hex digits), big-endian: long magic, int CRC32C of
 * everything after it, long index, long term, int length of the membership in bytes, membership as text, the state.
 */
final class SnapshotFile {
    private static final long MAGIC = 0x454c_4d53_4e41_0001L;
    private static final String PREFIX = "snapshot-";
    private static final String SUFFIX = ".snap";
    private static final int CRC_END_OFFSET = Long.BYTES + Integer.BYTES;
    private static final int HEADER_BYTES = CRC_END_OFFSET + 2 * Long.BYTES + Integer.BYTES;

    private SnapshotFile() {}

    static boolean isSnapshotName(String name) {
        return name.startsWith(PREFIX) && name.endsWith(SUFFIX);
    }

    static String fileName(Snapshot snapshot) {
        return String.format("%s%016x%s", PREFIX, snapshot.index(), SUFFIX);
    }

    static ByteBuffer encode(Snapshot snapshot) {
        byte[] members = snapshot.membership().toBytes();
        ByteBuffer to = ByteBuffer.allocate(HEADER_BYTES + members.length + snapshot.data().length);
        to.putLong(MAGIC).putInt(0).putLong(snapshot.index()).putLong(snapshot.term());
        to.putInt(members.length).put(members).put(snapshot.data());
        to.putInt(Long.BYTES, checksum(to.array()));
        return to.flip();
    }

    /** Returns the snapshot, null when the bytes are incomplete or damaged. */
    static Snapshot decode(byte[] bytes) {
        ByteBuffer from = ByteBuffer.wrap(bytes);
        boolean valid = bytes.length >= HEADER_BYTES && from.getLong() == MAGIC && from.getInt() == checksum(bytes);
        if (!valid) {
            return null;
        }
        long index = from.getLong();
        long term = from.getLong();
        byte[] members = new byte[from.getInt()];
        from.get(members);
        byte[] data = new byte[from.remaining()];
        from.get(data);
        return new Snapshot(index, term, Membership.ofBytes(members), data);
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, CRC_END_OFFSET, bytes.length - CRC_END_OFFSET);
        return (int) crc.getValue();
    }
}
