package org.elmline.core.dispatch;

/**
 * Bounds how many calls are retried, over all entries together: without a bound a fault of a few servers doubles the
 * load on the rest. The bound holds in every window of the limit's length: retries are counted over a little more than a
 * window, first sends over a little less. Not safe for concurrent use.
 */
final class ServiceRetryBudget {
    /** Parts that a window is counted in. */
    private static final int PARTS = 20;

    private final RetryLimit limit;
    private final long partNanos;
    private final long startNanos;
    private final SlidingCount firstSends = new SlidingCount(PARTS);
    private final SlidingCount retries = new SlidingCount(PARTS + 1);

    ServiceRetryBudget(RetryLimit limit, long now) {
        this.limit = limit;
        this.partNanos = Math.max(1, limit.windowNanos() / PARTS);
        this.startNanos = now;
    }

    void recordFirstSend(long now) {
        firstSends.add(part(now));
    }

    /** Takes one retry out of the budget; false if none is left. */
    boolean tryAcquireRetry(long now) {
        double allowed = limit.ratio() * firstSends.sum(part(now)) + limit.slack();
        if (retries.sum(part(now)) + 1 > allowed) {
            return false;
        }
        retries.add(part(now));
        return true;
    }

    /** Takes back a first send, or a retry, that did not take place. */
    void takeBack(boolean retry, long now) {
        (retry ? retries : firstSends).removeNewest(part(now));
    }

    private long part(long now) {
        return (now - startNanos) / partNanos;
    }
}
