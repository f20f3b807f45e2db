package org.elmline.core.raft;

import java.util.Objects;

/**
 * Term of a replica and the candidate it voted for in that term (null for none). Must be synced before any message that
 * depends on it is sent: after a crash, a lost vote could be given a second time and elect two leaders in one term.
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
