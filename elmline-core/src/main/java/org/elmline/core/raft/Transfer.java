package org.elmline.core.raft;

/**
 * Hands leadership to a chosen voter (Raft thesis, section 3.10): freezes the lease and waits for its end while still
 * serving, then takes no proposals until the target holds the whole log, and tells it to stand.
 */
final class Transfer {
    private final ReplicaId target;
    private long ordersSentAt = Progress.NEVER;
    private long giveUpAt = Long.MAX_VALUE;

    Transfer(ReplicaId target) {
        this.target = target;
    }

    ReplicaId target() {
        return target;
    }

    /** Whether proposals are refused, so that the target can reach the log's end. */
    boolean closing() {
        return giveUpAt != Long.MAX_VALUE;
    }

    /** Starts the last phase, which is bounded by an election timeout. */
    void close(long now, long electionTimeoutNanos) {
        giveUpAt = now + electionTimeoutNanos;
    }

    boolean failed(long now) {
        return now >= giveUpAt;
    }

    boolean standDue(long now, long heartbeatNanos) {
        return ordersSentAt == Progress.NEVER || now - ordersSentAt >= heartbeatNanos;
    }

    void standSent(long now) {
        ordersSentAt = now;
    }
}
