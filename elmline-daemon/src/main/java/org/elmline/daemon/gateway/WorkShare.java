package org.elmline.daemon.gateway;

/** Bounds work that is done again and again to a part of a thread's time: after each turn it rests in proportion to it. */
final class WorkShare {
    private final double share;
    private final long longestRestNanos;
    private long restsUntil;
    private boolean worked;

    /**
     * @param share part of the time that the work may take, over 0 and at most 1
     * @param longestRestNanos longest rest, however long a turn took
     */
    WorkShare(double share, long longestRestNanos) {
        this.share = share;
        this.longestRestNanos = longestRestNanos;
    }

    boolean allows(long now) {
        return !worked || now - restsUntil >= 0;
    }

    /** Notes a turn of the work, in nanoseconds of a monotonic clock. */
    void took(long from, long to) {
        worked = true;
        restsUntil = to + Math.min(longestRestNanos, (long) ((to - from) * (1 / share - 1)));
    }
}
