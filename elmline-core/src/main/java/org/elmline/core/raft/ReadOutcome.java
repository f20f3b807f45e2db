package org.elmline.core.raft;

/** Outcome of a request to read the latest committed state. */
public sealed interface ReadOutcome {
    /**
     * The read waits until a quorum has confirmed the leader; then {@link Ready#confirmedReads()} contains this number.
     */
    record AwaitingQuorum(long number) implements ReadOutcome {}

    /**
     * Refused because this replica is not the leader.
     *
     * @param leader the leader to send the read to, null when unknown
     */
    record NotLeader(ReplicaId leader) implements ReadOutcome {}

    /**
     * Refused because the leader has not committed an entry of its own term yet, and so cannot determine what earlier
     * leaders committed.
     */
    record StartOfTermPending() implements ReadOutcome {}
}
