package org.elmline.core.raft;

/**
 * Immediate outcome of a proposal. Whether it is committed is known only later, from {@link Ready#committedEntries()}.
 */
public sealed interface ProposeOutcome {
    /** Appended to the leader's log at these indexes, not yet committed. */
    record Appended(long firstIndex, long lastIndex, long term) implements ProposeOutcome {}

    /**
     * Refused because this replica is not the leader.
     *
     * @param leader the leader to send the proposal to, null when unknown
     */
    record NotLeader(ReplicaId leader) implements ProposeOutcome {}

    /** Refused by the leader. */
    record Refused(ProposeRefusal reason) implements ProposeOutcome {}
}
