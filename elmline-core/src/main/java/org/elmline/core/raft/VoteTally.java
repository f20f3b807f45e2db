package org.elmline.core.raft;

import java.util.HashSet;
import java.util.Set;

/** Counts the votes of one election. Votes of replicas that are not voters are ignored. */
final class VoteTally {
    private final Membership membership;
    private final Set<ReplicaId> grantedBy = new HashSet<>();

    VoteTally(Membership membership) {
        this.membership = membership;
    }

    void addVote(ReplicaId voter) {
        if (membership.isVoter(voter)) {
            grantedBy.add(voter);
        }
    }

    boolean hasMajority() {
        return grantedBy.size() >= membership.quorum();
    }
}
