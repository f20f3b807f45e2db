package org.elmline.daemon.gateway;

/** Bounds work that is done again and again to a part of a thread's time: after each turn it rests in proportion to it. */
final class DutyCycleLimiter {
    private final double timeShare;
    private final long maxPauseNanos;
    private long pausedUntilNanos;
    private boolean hasRun;

    /**
     * @param timeShare part of the time that the work may take, over 0 and at most 1
     * @param maxPauseNanos longest rest, however long a turn took
     */
    DutyCycleLimiter(double timeShare, long maxPauseNanos) {
        this.timeShare = timeShare;
        this.maxPauseNanos = maxPauseNanos;
    }

    boolean mayRun(long nowNanos) {
        return !hasRun || nowNanos - pausedUntilNanos >= 0;
    }

    /** Notes a turn of the work, in nanoseconds of a monotonic clock. */
    void recordRun(long startNanos, long endNanos) {
        hasRun = true;
        pausedUntilNanos = endNanos + Math.min(maxPauseNanos, (long) ((endNanos - startNanos) * (1 / timeShare - 1)));
    }
}
