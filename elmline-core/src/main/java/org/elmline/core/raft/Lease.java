package org.elmline.core.raft;

/**
 * Until when a leader may assume that no other leader can be elected (Raft thesis, section 6.4.1).
 *
 * <p>A voter that answers a request refuses to vote, also for itself, until the shortest election timeout has passed
 * since it received that request, and it received it no earlier than the leader sent it. Another leader needs the votes
 * of a majority, which shares a voter with the majority that answered. Hence there is no other leader until the
 * shortest election timeout after the send time of the newest request that a majority has answered. The lease ends
 * earlier by a margin for clocks that run at different speeds.
 *
 * <p>Four cases would break this, each with its safeguard:
 *
 * <ul>
 * <li>A voter restarts: it treats its start as a contact from the leader.
 * <li>A deposed leader is itself the shared voter: it treats its deposition as a contact from the leader.
 * <li>Leadership is transferred: voters accept the candidate of a transfer despite the lease, so the lease is frozen
 * first and must have ended.
 * <li>The membership changes: it changes by one voter at a time, and each commit requires answers to the leader from a
 * majority of the newer members.
 * </ul>
 */
final class Lease {
    private final long leaseNanos;
    private long untilNanos = RaftNode.NO_LEASE;
    private boolean frozen;

    Lease(RaftSettings settings) {
        this.leaseNanos = settings.leaseNanos();
    }

    /**
     * Extends the lease.
     *
     * @param quorumSentNanos send time of the newest request that a majority has answered
     */
    void extend(long quorumSentNanos) {
        if (!frozen && quorumSentNanos != Progress.NEVER) {
            untilNanos = Math.max(untilNanos, quorumSentNanos + leaseNanos);
        }
    }

    /**
     * Stops extending the lease for the rest of the term, because a {@link Message.TimeoutNow} may still be in flight.
     */
    void freeze() {
        frozen = true;
    }

    boolean frozen() {
        return frozen;
    }

    boolean hasEnded(long nowNanos) {
        return nowNanos >= untilNanos;
    }

    long leaseUntilNanos() {
        return untilNanos;
    }
}
