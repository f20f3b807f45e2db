package org.elmline.core.raft;

import java.io.ByteArrayOutputStream;

/** Puts a snapshot together from pieces that may be lost, repeated or come from another leader meanwhile. */
final class SnapshotReceiver {
    private ReplicaId leader;
    private long index;
    private long indexTerm;
    private ByteArrayOutputStream buffer;

    /** Takes a piece. Returns the whole snapshot when this was the last one missing, else null. */
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
        Snapshot whole = new Snapshot(index, indexTerm, chunk.membership(), buffer.toByteArray());
        buffer = null;
        return whole;
    }

    /** Bytes held of the snapshot that is under way. */
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
