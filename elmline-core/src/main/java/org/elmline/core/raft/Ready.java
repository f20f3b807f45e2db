package org.elmline.core.raft;

import java.util.List;

/**
 * Work for the driver, in this order: send {@code messagesBeforeSync}; write and sync {@code snapshotToInstall}, {@code
 * hardState} and {@code entries}; send {@code messagesAfterSync}; restore {@code snapshotToInstall} and apply {@code
 * committedEntries}; answer {@code confirmedReads}; call {@link RaftNode#advance(long, Ready)}.
 *
 * @param hardState null when unchanged
 * @param snapshotToInstall a snapshot from the leader that replaces the whole log, null when there is none
 * @param entries entries to append; if the first has an index that is written already, the log is truncated there first
 * @param messagesBeforeSync messages that depend on nothing unsynced (a leader's requests; Raft thesis, section 10.2.1)
 * @param messagesAfterSync messages that must not be sent before the sync
 * @param committedEntries committed entries to apply, in the order of the log
 * @param confirmedReads reads that may be answered once the entries are applied
 */
public record Ready(
        HardState hardState,
        Snapshot snapshotToInstall,
        List<Entry> entries,
        List<Message> messagesBeforeSync,
        List<Message> messagesAfterSync,
        List<Entry> committedEntries,
        List<ConfirmedRead> confirmedReads) {

    /** Whether anything must be synced. */
    public boolean needsSync() {
        return hardState != null || snapshotToInstall != null || !entries.isEmpty();
    }
}
