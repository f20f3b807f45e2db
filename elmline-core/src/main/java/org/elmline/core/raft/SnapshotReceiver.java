package org.elmline.core.raft;

import java.io.ByteArrayOutputStream;

/** Assembles a snapshot from chunks that may be lost or repeated, or come from a new leader midway. */
final class SnapshotReceiver {
    private ReplicaId leader;
    private long index;
    private long indexTerm;
    private ByteArrayOutputStream buffer;

    /** Adds a chunk. Returns the complete snapshot when this was the last one missing, otherwise null. */
    Snapshot accept(Message.SnapshotChunk chunk) {
        if (!isCurrentSnapshot(chunk)) {
            leader = chunk.from();
            index = chunk.index();
            indexTerm = chunk.indexTerm();
            buffer = new ByteArrayOutputStream();
        }
        if (chunk.offset() == buffer.size()) {
            buffer.write(chunk.data(), 0, chunk.data().length);
        }
        if (buffer.size() < chunk.total()) {
            return null;
        }
        Snapshot snapshot = new Snapshot(index, indexTerm, chunk.membership(), buffer.toByteArray());
        buffer = null;
        return snapshot;
    }

    /** Bytes received of the current snapshot. */
    long receivedBytes() {
        return buffer == null ? 0 : buffer.size();
    }

    private boolean isCurrentSnapshot(Message.SnapshotChunk chunk) {
        return buffer != null
                && chunk.from().equals(leader)
                && chunk.index() == index
                && chunk.indexTerm() == indexTerm;
    }
}
