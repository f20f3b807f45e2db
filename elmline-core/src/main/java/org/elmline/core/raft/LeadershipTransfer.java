package org.elmline.core.raft;

/**
 * Hands leadership to a chosen voter (Raft thesis, section 3.10): freezes the lease and waits for its end while still
 * serving, then takes no proposals until the target holds the whole log, and tells it to stand.
 */
final class LeadershipTransfer {
    private final ReplicaId target;
    private long timeoutNowSentNanos = Progress.NEVER;
    private long deadlineNanos = Long.MAX_VALUE;

    LeadershipTransfer(ReplicaId target) {
        this.target = target;
    }

    ReplicaId target() {
        return target;
    }

    /** Whether proposals are refused, so that the target can reach the log's end. */
    boolean refusesProposals() {
        return deadlineNanos != Long.MAX_VALUE;
    }

    /** Starts the last phase, which is bounded by an election timeout. */
    void refuseProposals(long now, long electionTimeoutNanos) {
        deadlineNanos = now + electionTimeoutNanos;
    }

    boolean hasTimedOut(long now) {
        return now >= deadlineNanos;
    }

    boolean isTimeoutNowDue(long now, long heartbeatNanos) {
        return timeoutNowSentNanos == Progress.NEVER || now - timeoutNowSentNanos >= heartbeatNanos;
    }

    void onTimeoutNowSent(long now) {
        timeoutNowSentNanos = now;
    }
}
