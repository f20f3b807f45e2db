package org.elmline.core.raft;

/**
 * Transfers leadership to a chosen voter (Raft thesis, section 3.10). The lease is frozen first, and the leader keeps
 * serving until it has ended. Then the leader refuses proposals until the target holds the whole log, and sends it
 * {@link Message.TimeoutNow}. Times are nanoseconds of the leader's monotonic clock.
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

    /** Whether proposals are refused, so that the target can reach the end of the log. */
    boolean refusesProposals() {
        return deadlineNanos != Long.MAX_VALUE;
    }

    /** Starts the last phase, which times out after one election timeout. */
    void refuseProposals(long nowNanos, long electionTimeoutNanos) {
        deadlineNanos = nowNanos + electionTimeoutNanos;
    }

    boolean hasTimedOut(long nowNanos) {
        return nowNanos >= deadlineNanos;
    }

    boolean isTimeoutNowDue(long nowNanos, long retryNanos) {
        return timeoutNowSentNanos == Progress.NEVER || nowNanos - timeoutNowSentNanos >= retryNanos;
    }

    void onTimeoutNowSent(long nowNanos) {
        timeoutNowSentNanos = nowNanos;
    }
}
