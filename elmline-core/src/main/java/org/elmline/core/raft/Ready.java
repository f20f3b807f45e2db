package org.elmline.core.raft;

import java.util.List;

/**
 * What the driver has to do, in this order: send {@code before}; write and sync {@code install}, {@code hardState} and
 * {@code entries}; send {@code after}; restore {@code install} and apply {@code committed}; answer {@code reads}; call
 * {@link RaftNode#advance(long, Ready)}.
 *
 * @param hardState null when unchanged
 * @param snapshotToInstall a snapshot from the leader that replaces the whole log, null when none
 * @param entries to append; the first may stand on an index that is written already, which cuts the log off there
 * @param messagesBeforeSync messages that rest on nothing unsynced (a leader's requests; Raft thesis, section 10.2.1)
 * @param messagesAfterSync messages that must not leave before the sync
 */
public record Ready(
        HardState hardState,
        Snapshot snapshotToInstall,
        List<Entry> entries,
        List<Message> messagesBeforeSync,
        List<Message> messagesAfterSync,
        List<Entry> committedEntries,
        List<ConfirmedRead> confirmedReads) {

    /** Whether anything has to be synced. */
    public boolean needsSync() {
        return hardState != null || snapshotToInstall != null || !entries.isEmpty();
    }
}
