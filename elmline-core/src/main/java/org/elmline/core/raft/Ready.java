package org.elmline.core.raft;

import java.util.List;

/**
 * What the driver has to do, in this order: send {@code before}; write and sync {@code install}, {@code hardState} and
 * {@code entries}; send {@code after}; restore {@code install} and apply {@code committed}; answer {@code reads}; call
 * {@link RaftNode#advance(long, Ready)}.
 *
 * @param hardState null when unchanged
 * @param install a snapshot from the leader that replaces the whole log, null when none
 * @param entries to append; the first may stand on an index that is written already, which cuts the log off there
 * @param before messages that rest on nothing unsynced (a leader's requests; Raft thesis, section 10.2.1)
 * @param after messages that must not leave before the sync
 */
public record Ready(
        HardState hardState,
        Snapshot install,
        List<Entry> entries,
        List<Message> before,
        List<Message> after,
        List<Entry> committed,
        List<ConfirmedRead> reads) {

    /** Whether anything has to be synced. */
    public boolean writes() {
        return hardState != null || install != null || !entries.isEmpty();
    }
}
