package org.elmline.daemon.control;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Role;
import org.elmline.daemon.raft.RaftStatus;

/**
 * Status of one control host, for operators.
 *
 * @param replica its identity: the host and the incarnation of its data folder
 * @param leader peer address of the leader, null when none is known
 * @param appliedIndex index of the last log entry applied to its state
 */
public record ControlStatus(
        HostId host,
        ReplicaId replica,
        Role role,
        long term,
        Address leader,
        List<ReplicaId> voters,
        List<ReplicaId> learners,
        long committedIndex,
        long appliedIndex) {
    static ControlStatus of(HostId host, RaftStatus raft, LeadershipStatus leadership) {
        return new ControlStatus(
                host,
                raft.self(),
                raft.role(),
                raft.term(),
                leadership.leader(),
                raft.membership().voters(),
                raft.membership().learners(),
                raft.committedIndex(),
                raft.appliedIndex());
    }
}
