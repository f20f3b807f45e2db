package org.elmline.storage;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.raft.Entry;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.Restored;
import org.elmline.core.raft.Snapshot;

/** Puts the state of the log together from the records of all segments, in their order. */
final class Replay {
    private static final long UNKNOWN = -1;

    private final Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();
    private HardState hardState = HardState.NONE;
    private long last = UNKNOWN;
    private long first = UNKNOWN;
    private long resetIndex;

    /**
     * @param snapshot the newest snapshot, null when there is none
     */
    Replay(Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    /** Takes the next segment. Returns the damage found in it, null when there is none. */
    Damage add(SegmentScan segment) {
        for (Record each : segment.records()) {
            if (!add(each)) {
                return new Damage(segment.file(), 0, "an entry before " + each.entry() + " is missing");
            }
        }
        return null;
    }

    private boolean add(Record record) {
        switch (record.type()) {
            case HARD_STATE -> hardState = record.hardState();
            case RESET -> {
                entries.clear();
                resetIndex = record.resetIndex();
                last = resetIndex;
                first = resetIndex + 1;
            }
            case ENTRY -> {
                return add(record.entry());
            }
            default -> {
                return true;
            }
        }
        return true;
    }

    private boolean add(Entry entry) {
        if (last == UNKNOWN || entry.index() < first) {
            entries.clear();
            first = entry.index();
        } else if (entry.index() > last + 1) {
            return false;
        } else {
            entries.subList((int) (entry.index() - first), entries.size()).clear();
        }
        entries.add(entry);
        last = entry.index();
        return true;
    }

    private long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.index();
    }

    /** Null when snapshot and entries leave no gap. */
    Damage gap() {
        if (resetIndex > snapshotIndex()) {
            return new Damage("snapshot", resetIndex, "the snapshot that replaced the log is missing");
        }
        if (!entries.isEmpty() && first > snapshotIndex() + 1) {
            return new Damage("snapshot", first, "entries or a snapshot before this index are missing");
        }
        return null;
    }

    /**
     * Whether the log does not lead up to the snapshot: the host died between writing a snapshot of the leader and
     * noting that it replaces the log. The entries are void then.
     */
    boolean replacedBySnapshot() {
        if (snapshot == null || last == UNKNOWN || resetIndex == snapshot.index()) {
            return false;
        }
        if (last < snapshot.index()) {
            return true;
        }
        long at = snapshot.index() - first;
        return at >= 0 && entries.get((int) at).term() != snapshot.term();
    }

    HardState hardState() {
        return hardState;
    }

    Restored restored() {
        if (replacedBySnapshot()) {
            return new Restored(hardState, snapshot, List.of());
        }
        List<Entry> after =
                entries.stream().filter(each -> each.index() > snapshotIndex()).toList();
        return new Restored(hardState, snapshot, after);
    }
}
