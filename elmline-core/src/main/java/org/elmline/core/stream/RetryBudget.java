package org.elmline.core.stream;

/**
 * Bounds retries to a share of first tries, so that failing engines can't multiply the load on the rest: over any time
 * at most {@code share} times the first tries, plus {@code burst}. Thread-safe.
 */
public final class RetryBudget {
    private final double retryRatio;
    private final double burst;
    private double availableRetries;

    /**
     * @param share retries allowed for each first try, for example 0.1
     * @param burst retries that may be saved up while nothing fails
     */
    public RetryBudget(double share, double burst) {
        if (share < 0 || burst < 0) {
            throw new IllegalArgumentException("share and burst must not be negative");
        }
        this.retryRatio = share;
        this.burst = burst;
        this.availableRetries = burst;
    }

    public synchronized void onFirstAttempt() {
        availableRetries = Math.min(burst, availableRetries + retryRatio);
    }

    /** Takes one retry out of the budget; false when it is used up. */
    public synchronized boolean tryAcquire() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries--;
        return true;
    }
}
