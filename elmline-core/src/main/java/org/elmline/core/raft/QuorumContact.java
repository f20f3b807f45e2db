package org.elmline.core.raft;

/**
 * Decides when a leader has lost contact to a majority. Only time in which the leader ran counts as silence: after a
 * pause of its own, or on a host that is busy with other work, answers wait to be received, and a leader that stepped
 * down then would leave its term to an election that keeps the hosts busier still.
 */
final class QuorumContact {
    /**
     * Election timeouts that a new leader waits for the first answers of a majority. After a start of all hosts these
     * take longer than later ones, and each leader would step down for the next election.
     */
    private static final int FIRST_ANSWERS_TIMEOUTS = 3;

    private final long timeoutNanos;
    private final long longestStepNanos;
    private final long electedAtNanos;
    private long contactNanos;
    private long lastTickNanos;
    private long silentNanos;

    QuorumContact(RaftSettings settings, long electedAtNanos) {
        this.timeoutNanos = settings.electionTimeoutNanos();
        this.longestStepNanos = settings.heartbeatNanos();
        this.electedAtNanos = electedAtNanos;
        this.contactNanos = electedAtNanos;
        this.lastTickNanos = electedAtNanos;
    }

    /**
     * Adds the time since the last tick.
     *
     * @param quorumContactNanos when the last answer of a majority arrived; it counts from its receipt rather than from
     *     the send time as the lease does, or a leader whose disk stalled for a moment would step down although a majority
     *     still answers
     */
    void tick(long nowNanos, long quorumContactNanos) {
        if (quorumContactNanos > contactNanos) {
            contactNanos = quorumContactNanos;
            silentNanos = Math.min(nowNanos - contactNanos, longestStepNanos);
        } else {
            silentNanos += Math.min(nowNanos - lastTickNanos, longestStepNanos);
        }
        lastTickNanos = nowNanos;
    }

    boolean isLost() {
        boolean first = contactNanos == electedAtNanos;
        return silentNanos >= (first ? FIRST_ANSWERS_TIMEOUTS * timeoutNanos : timeoutNanos);
    }
}
