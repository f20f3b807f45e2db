package org.elmline.core.dispatch;

/**
 * Bounds how many calls are retried, over all entries together: without a bound a fault of a few servers doubles the
 * load on the rest. Counts in half windows; the bound applies to the current and the previous one together. Not safe
 * for concurrent use.
 */
final class ServiceRetryBudget {
    private final RetryLimit limit;
    private long halfWindowStartNanos;
    private long currentFirstSends;
    private long previousFirstSends;
    private long currentRetries;
    private long previousRetries;

    ServiceRetryBudget(RetryLimit limit, long now) {
        this.limit = limit;
        this.halfWindowStartNanos = now;
    }

    void recordFirstSend(long now) {
        advanceWindow(now);
        currentFirstSends++;
    }

    /** Takes one retry out of the budget; false if none is left. */
    boolean tryAcquireRetry(long now) {
        advanceWindow(now);
        double allowed = limit.ratio() * (currentFirstSends + previousFirstSends) + limit.slack();
        if (currentRetries + previousRetries + 1 > allowed) {
            return false;
        }
        currentRetries++;
        return true;
    }

    private void advanceWindow(long now) {
        long halfWindowNanos = limit.windowNanos() / 2;
        if (now - halfWindowStartNanos < halfWindowNanos) {
            return;
        }
        boolean adjacent = now - halfWindowStartNanos < 2 * halfWindowNanos;
        previousFirstSends = adjacent ? currentFirstSends : 0;
        previousRetries = adjacent ? currentRetries : 0;
        currentFirstSends = 0;
        currentRetries = 0;
        halfWindowStartNanos = now;
    }
}
