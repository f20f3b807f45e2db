package org.elmline.core.raft;

import java.io.ByteArrayOutputStream;

/** Puts a snapshot together from pieces that may be lost, repeated or come from another leader meanwhile. */
final class SnapshotReceiver {
    private ReplicaId from;
    private long index;
    private long indexTerm;
    private ByteArrayOutputStream bytes;

    /** Takes a piece. Returns the whole snapshot when this was the last one missing, else null. */
    Snapshot accept(Message.SnapshotChunk chunk) {
        if (!isSame(chunk)) {
            from = chunk.from();
            index = chunk.index();
            indexTerm = chunk.indexTerm();
            bytes = new ByteArrayOutputStream();
        }
        if (chunk.offset() == bytes.size()) {
            bytes.write(chunk.data(), 0, chunk.data().length);
        }
        if (bytes.size() < chunk.total()) {
            return null;
        }
        Snapshot whole = new Snapshot(index, indexTerm, chunk.membership(), bytes.toByteArray());
        bytes = null;
        return whole;
    }

    /** Bytes held of the snapshot that is under way. */
    long held() {
        return bytes == null ? 0 : bytes.size();
    }

    private boolean isSame(Message.SnapshotChunk chunk) {
        return bytes != null && chunk.from().equals(from) && chunk.index() == index && chunk.indexTerm() == indexTerm;
    }
}
