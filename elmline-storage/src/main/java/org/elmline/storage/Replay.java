package org.elmline.storage;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.raft.Entry;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.RestoredState;
import org.elmline.core.raft.Snapshot;

/** Restores the state of the log from the records of all segments, in their order. */
final class Replay {
    private static final long UNKNOWN_INDEX = -1;

    private final Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();
    private HardState hardState = HardState.NONE;
    private long lastIndex = UNKNOWN_INDEX;
    private long firstIndex = UNKNOWN_INDEX;
    private long resetIndex;

    /** @param snapshot the newest snapshot, null when there is none */
    Replay(Snapshot snapshot) {
        this.snapshot = snapshot;
    }

    /** Replays the next segment. Returns the corruption found in it, null when there is none. */
    Corruption add(SegmentScan segment) {
        for (LogRecord each : segment.records()) {
            if (!add(each)) {
                return new Corruption(segment.file(), 0, "an entry before " + each.entry() + " is missing");
            }
        }
        return null;
    }

    private boolean add(LogRecord record) {
        switch (record.type()) {
            case HARD_STATE -> hardState = record.hardState();
            case RESET -> {
                entries.clear();
                resetIndex = record.resetIndex();
                lastIndex = resetIndex;
                firstIndex = resetIndex + 1;
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
        if (lastIndex == UNKNOWN_INDEX || entry.index() < firstIndex) {
            entries.clear();
            firstIndex = entry.index();
        } else if (entry.index() > lastIndex + 1) {
            return false;
        } else {
            entries.subList((int) (entry.index() - firstIndex), entries.size()).clear();
        }
        entries.add(entry);
        lastIndex = entry.index();
        return true;
    }

    private long snapshotIndex() {
        return snapshot == null ? 0 : snapshot.index();
    }

    /** Returns the gap between the snapshot and the entries, null when there is none. */
    Corruption findGap() {
        if (resetIndex > snapshotIndex()) {
            return new Corruption("snapshot", resetIndex, "the snapshot that replaced the log is missing");
        }
        if (!entries.isEmpty() && firstIndex > snapshotIndex() + 1) {
            return new Corruption("snapshot", firstIndex, "entries or a snapshot before this index are missing");
        }
        return null;
    }

    /**
     * Whether the log does not match the snapshot: the host died between writing a snapshot received from the leader
     * and writing the record that it replaces the log. The entries are not valid then.
     */
    boolean isReplacedBySnapshot() {
        if (snapshot == null || lastIndex == UNKNOWN_INDEX || resetIndex == snapshot.index()) {
            return false;
        }
        if (lastIndex < snapshot.index()) {
            return true;
        }
        long offset = snapshot.index() - firstIndex;
        return offset >= 0 && entries.get((int) offset).term() != snapshot.term();
    }

    HardState hardState() {
        return hardState;
    }

    RestoredState restored() {
        if (isReplacedBySnapshot()) {
            return new RestoredState(hardState, snapshot, List.of());
        }
        List<Entry> after =
                entries.stream().filter(each -> each.index() > snapshotIndex()).toList();
        return new RestoredState(hardState, snapshot, after);
    }
}
