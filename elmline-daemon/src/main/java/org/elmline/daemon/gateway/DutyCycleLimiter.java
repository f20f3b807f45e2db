package org.elmline.daemon.gateway;

/** Bounds work that is done again and again to a part of a thread's time: after each turn it rests in proportion to it. */
final class DutyCycleLimiter {
    private final double timeShare;
    private final long maxPauseNanos;
    private long pausedUntilNanos;
    private boolean hasRun;

    /**
     * @param share part of the time that the work may take, over 0 and at most 1
     * @param longestRestNanos longest rest, however long a turn took
     */
    DutyCycleLimiter(double share, long longestRestNanos) {
        this.timeShare = share;
        this.maxPauseNanos = longestRestNanos;
    }

    boolean mayRun(long now) {
        return !hasRun || now - pausedUntilNanos >= 0;
    }

    /** Notes a turn of the work, in nanoseconds of a monotonic clock. */
    void recordRun(long from, long to) {
        hasRun = true;
        pausedUntilNanos = to + Math.min(maxPauseNanos, (long) ((to - from) * (1 / timeShare - 1)));
    }
}
