package org.elmline.core.stream;

/**
 * Limits retries to a share of first attempts, so that failing engines can't multiply the load on the others: over any
 * period at most {@code retryRatio} times the first attempts, plus {@code burst}. Thread-safe.
 */
public final class RetryBudget {
    private final double retryRatio;
    private final double burst;
    private double availableRetries;

    /**
     * @param retryRatio retries allowed for each first attempt, for example 0.1
     * @param burst retries that may accumulate while nothing fails
     */
    public RetryBudget(double retryRatio, double burst) {
        if (retryRatio < 0 || burst < 0) {
            throw new IllegalArgumentException("retryRatio and burst must not be negative");
        }
        this.retryRatio = retryRatio;
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
