package org.elmline.daemon.raft;

import org.elmline.core.raft.Membership;
import org.elmline.core.raft.RaftNode;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Role;

/**
 * A replica's status after its last input.
 *
 * @param leader null when none is known
 * @param current whether the replica has applied an entry of the leader's term, see {@link RaftNode#isCurrent()}
 * @param leaseUntilNanos end of this replica's own lease on its monotonic clock, {@link RaftNode#NO_LEASE} without one
 */
public record RaftStatus(
        ReplicaId self,
        Role role,
        long term,
        ReplicaId leader,
        boolean current,
        long leaseUntilNanos,
        Membership membership,
        long committedIndex,
        long appliedIndex,
        long lastIndex) {

    static RaftStatus of(RaftNode node) {
        return new RaftStatus(
                node.self(),
                node.role(),
                node.term(),
                node.leader(),
                node.isCurrent(),
                node.leaseUntilNanos(),
                node.membership(),
                node.committedIndex(),
                node.appliedIndex(),
                node.lastIndex());
    }

    /**
     * Status while this replica's disk is full and after it stopped: it can neither vote nor acknowledge entries, so it
     * does not count as leader.
     */
    RaftStatus withoutLeadership() {
        return new RaftStatus(
                self,
                Role.FOLLOWER,
                term,
                null,
                false,
                RaftNode.NO_LEASE,
                membership,
                committedIndex,
                appliedIndex,
                lastIndex);
    }

    public boolean leads() {
        return role == Role.LEADER;
    }
}
