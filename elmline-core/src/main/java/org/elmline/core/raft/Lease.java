package org.elmline.core.raft;

/**
 * Until when a leader may act in the belief that no other can be elected (Raft thesis, section 6.4.1).
 *
 * <p>Each voter that answers a request refuses to vote, for itself too, until the shortest election timeout has passed
 * since it received that request, which is not before the leader sent it. Any other leader needs a vote from a majority,
 * which shares a voter with the majority that answered. So up to the shortest election timeout after the newest sending
 * that a majority has answered there is no other; the lease ends earlier by the margin for clocks that run at unlike
 * speeds. Four cases would break this, and each has its safeguard: a voter that restarts (it counts its start as a
 * contact), a deposed leader that is itself the shared voter (it counts its fall as a contact), a hand-over (the
 * candidate that the leader sends forth is let through, so the lease is frozen first and must have ended), and changes
 * of membership (one voter at a time, and each commit makes a majority of the newer members hear the leader again).
 */
final class Lease {
    private final long leaseNanos;
    private long untilNanos = RaftNode.NO_LEASE;
    private boolean frozen;

    Lease(RaftSettings settings) {
        this.leaseNanos = settings.leaseNanos();
    }

    /** Takes the newest sending that a majority has answered. */
    void extend(long quorumSentNanos) {
        if (!frozen && quorumSentNanos != Progress.NEVER) {
            untilNanos = Math.max(untilNanos, quorumSentNanos + leaseNanos);
        }
    }

    /** From here on the lease only runs out. It never starts again in this term, as a late stand order may be about. */
    void freeze() {
        frozen = true;
    }

    boolean frozen() {
        return frozen;
    }

    boolean hasEnded(long now) {
        return now >= untilNanos;
    }

    long leaseUntilNanos() {
        return untilNanos;
    }
}
