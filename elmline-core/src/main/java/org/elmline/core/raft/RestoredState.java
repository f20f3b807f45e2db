package org.elmline.core.raft;

import java.util.List;

/**
 * State that a replica reads from its data folder when it starts.
 *
 * @param hardState synced term and vote, {@link HardState#NONE} in an empty folder
 * @param snapshot null when there is none
 * @param entries the entries after the snapshot
 * @param committedIndex an index up to which the entries are known to be committed, 0 when none is known. It need not
 *     be the newest: it only lets a restarted replica provide its last known state before a leader is elected
 */
public record RestoredState(HardState hardState, Snapshot snapshot, List<Entry> entries, long committedIndex) {
    /** An empty data folder. The replica waits to be added as a learner and starts no election until promoted. */
    public static final RestoredState EMPTY = new RestoredState(HardState.NONE, null, List.of());

    private static final long FIRST_INDEX_AND_TERM = 1;

    public RestoredState {
        entries = List.copyOf(entries);
    }

    public RestoredState(HardState hardState, Snapshot snapshot, List<Entry> entries) {
        this(hardState, snapshot, entries, 0);
    }

    /**
     * The initial state of a new cluster, the same on each of its first voters. Only an explicit bootstrap writes it.
     */
    public static RestoredState bootstrap(Membership first) {
        if (first.voters().isEmpty()) {
            throw new IllegalArgumentException("a cluster needs a voter");
        }
        return new RestoredState(
                new HardState(FIRST_INDEX_AND_TERM, null),
                null,
                List.of(Entry.membership(FIRST_INDEX_AND_TERM, FIRST_INDEX_AND_TERM, first)));
    }
}
