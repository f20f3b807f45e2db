package org.elmline.core.raft;

/** What became of a request to read the latest committed state. */
public sealed interface ReadOutcome {
    /** {@link Ready#confirmedReads()} will carry this number once a quorum has confirmed the leader. */
    record AwaitingQuorum(long number) implements ReadOutcome {}

    /** Ask the leader, null when none is known. */
    record NotLeader(ReplicaId leader) implements ReadOutcome {}

    /** The leader has not committed an entry of its own term yet and can't know what earlier ones committed. */
    record StartOfTermPending() implements ReadOutcome {}
}
