package org.elmline.core.raft;

/** What became of a proposal at the moment it was made; whether it commits shows later. */
public sealed interface ProposeOutcome {
    /** In the leader's log at these positions, not yet committed. */
    record Appended(long firstIndex, long lastIndex, long term) implements ProposeOutcome {}

    /** Not taken; ask the leader, null when none is known. */
    record NotLeader(ReplicaId leader) implements ProposeOutcome {}

    /** Not taken. */
    record Refused(ProposeRefusal reason) implements ProposeOutcome {}
}
