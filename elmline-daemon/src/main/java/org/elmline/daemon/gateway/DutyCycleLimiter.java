package org.elmline.daemon.gateway;

/**
 * Limits repeated work to a share of a thread's time: each run is followed by a pause in proportion to its duration.
 * Not safe for use by several threads.
 */
final class DutyCycleLimiter {
    private final double timeShare;
    private final long maxPauseNanos;
    private long pausedUntilNanos;
    private boolean hasRun;

    /**
     * @param timeShare share of the time that the work may take, over 0 and at most 1
     * @param maxPauseNanos longest pause, however long a run took
     */
    DutyCycleLimiter(double timeShare, long maxPauseNanos) {
        this.timeShare = timeShare;
        this.maxPauseNanos = maxPauseNanos;
    }

    boolean mayRun(long nowNanos) {
        return !hasRun || nowNanos - pausedUntilNanos >= 0;
    }

    /** Records a run of the work, in nanoseconds of a monotonic clock. */
    void recordRun(long startNanos, long endNanos) {
        hasRun = true;
        pausedUntilNanos = endNanos + Math.min(maxPauseNanos, (long) ((endNanos - startNanos) * (1 / timeShare - 1)));
    }
}
