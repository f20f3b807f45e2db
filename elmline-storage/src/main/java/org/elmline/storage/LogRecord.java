package org.elmline.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Snapshot;

/** A record's type and payload, big-endian, in the format that {@link RecordType} defines. */
record LogRecord(RecordType type, byte[] payload) {
    static final LogRecord CLOSED = new LogRecord(RecordType.CLOSED, new byte[0]);

    private static final int POSITION_BYTES = 2 * Long.BYTES;

    static LogRecord of(Entry entry) {
        ByteBuffer to = ByteBuffer.allocate(POSITION_BYTES + 1 + entry.data().length);
        to.putLong(entry.index()).putLong(entry.term()).put((byte) entry.kind().code());
        return new LogRecord(RecordType.ENTRY, to.put(entry.data()).array());
    }

    static LogRecord of(HardState state) {
        String vote = state.vote() == null ? "" : state.vote().toString();
        byte[] text = vote.getBytes(StandardCharsets.UTF_8);
        ByteBuffer to = ByteBuffer.allocate(Long.BYTES + text.length);
        return new LogRecord(
                RecordType.HARD_STATE, to.putLong(state.term()).put(text).array());
    }

    static LogRecord resetTo(Snapshot snapshot) {
        ByteBuffer to = ByteBuffer.allocate(POSITION_BYTES);
        return new LogRecord(
                RecordType.RESET,
                to.putLong(snapshot.index()).putLong(snapshot.term()).array());
    }

    Entry entry() {
        ByteBuffer from = ByteBuffer.wrap(payload);
        long index = from.getLong();
        long term = from.getLong();
        EntryKind kind = EntryKind.ofCode(from.get());
        byte[] data = new byte[from.remaining()];
        from.get(data);
        return new Entry(index, term, kind, data);
    }

    /** The index of an entry, read without copying the entry's data. */
    long entryIndex() {
        return ByteBuffer.wrap(payload).getLong();
    }

    HardState hardState() {
        ByteBuffer from = ByteBuffer.wrap(payload);
        long term = from.getLong();
        String vote = StandardCharsets.UTF_8.decode(from).toString();
        return new HardState(term, vote.isEmpty() ? null : ReplicaId.parse(vote));
    }

    long resetIndex() {
        return ByteBuffer.wrap(payload).getLong();
    }
}
