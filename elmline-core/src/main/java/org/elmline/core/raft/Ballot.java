package org.elmline.core.raft;

import java.util.HashSet;
import java.util.Set;

/** Counts the votes of one election; votes of replicas that are not voters don't count. */
final class Ballot {
    private final Membership membership;
    private final Set<ReplicaId> granted = new HashSet<>();

    Ballot(Membership membership) {
        this.membership = membership;
    }

    void grant(ReplicaId by) {
        if (membership.isVoter(by)) {
            granted.add(by);
        }
    }

    boolean won() {
        return granted.size() >= membership.quorum();
    }
}
