package org.elmline.core.raft;

import java.util.Objects;

/**
 * What a replica must never forget: its term and whom it voted for in it (null for nobody). Synced before any message
 * that rests on it leaves; a vote forgotten in a crash could be given twice and elect two leaders.
 */
public record HardState(long term, ReplicaId vote) {
    public static final HardState NONE = new HardState(0, null);

    @Override
    public boolean equals(Object other) {
        return other instanceof HardState that && term == that.term && Objects.equals(vote, that.vote);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(term) + Objects.hashCode(vote);
    }
}
