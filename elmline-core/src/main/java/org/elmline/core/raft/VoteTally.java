package org.elmline.core.raft;

import java.util.HashSet;
import java.util.Set;

/** Counts the votes of one election; votes of replicas that are not voters don't count. */
final class VoteTally {
    private final Membership membership;
    private final Set<ReplicaId> grantedBy = new HashSet<>();

    VoteTally(Membership membership) {
        this.membership = membership;
    }

    void addVote(ReplicaId by) {
        if (membership.isVoter(by)) {
            grantedBy.add(by);
        }
    }

    boolean hasMajority() {
        return grantedBy.size() >= membership.quorum();
    }
}
