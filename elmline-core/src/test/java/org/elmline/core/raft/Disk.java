package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;

/** The synced data of a replica, which outlives its crashes. */
final class Disk {
    private HardState hardState;
    private Snapshot snapshot;
    private final List<Entry> entries = new ArrayList<>();

    Disk(RestoredState first) {
        hardState = first.hardState();
        entries.addAll(first.entries());
    }

    void write(Ready ready) {
        if (ready.snapshotToInstall() != null) {
            snapshot = ready.snapshotToInstall();
            entries.clear();
        }
        if (ready.hardState() != null) {
            hardState = ready.hardState();
        }
        if (!ready.entries().isEmpty()) {
            long first = ready.entries().get(0).index();
            entries.removeIf(each -> each.index() >= first);
            entries.addAll(ready.entries());
        }
    }

    /** Writes and applies everything that a replica has ready, and returns the messages that it sends. */
    List<Message> process(RaftNode node, long now) {
        List<Message> sent = new ArrayList<>();
        while (node.hasReady()) {
            Ready ready = node.ready();
            write(ready);
            sent.addAll(ready.messagesBeforeSync());
            sent.addAll(ready.messagesAfterSync());
            node.advance(now, ready);
        }
        return sent;
    }

    void write(Snapshot compacted) {
        snapshot = compacted;
        entries.removeIf(each -> each.index() <= compacted.index());
    }

    RestoredState read() {
        return new RestoredState(hardState, snapshot, entries);
    }
}
