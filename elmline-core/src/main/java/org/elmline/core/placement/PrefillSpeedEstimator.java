package org.elmline.core.placement;

/**
 * Estimates the ratio of an engine's speed to its announced speed, from first tokens alone: each gives one sample of
 * predicted against actual time, and an overdue first token lowers the estimate before it arrives. An engine that runs
 * at a tenth of its speed while it reports no load is thus detected within seconds. Without new samples the estimate
 * returns towards 1, so that an engine that recovered receives requests again. Not thread-safe.
 */
public final class PrefillSpeedEstimator {
    private static final double SMOOTHING = 0.1;
    private static final double MIN_FACTOR = 0.02;
    private static final double MAX_FACTOR = 1.5;
    private static final double RECOVERY_HALF_LIFE_SECONDS = 30;
    private static final double OVERDUE_SECONDS = 0.5;
    private static final double OVERDUE_RATIO = 3;
    private static final int MAX_OVERDUE_CHECKS = 8;
    private static final long CACHED_FACTOR_NANOS = 10_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final InFlightPrefill sentinel = new InFlightPrefill(0, 0);
    private double speedFactor = 1;
    private long lastSampleNanos;
    private double cachedFactor;
    private long cachedFactorNanos;
    private boolean isCachedFactorValid;

    /** One prefill in flight; a node of the list of prefills in order of placement. */
    public static final class InFlightPrefill {
        private final long startNanos;
        private final double predictedSeconds;
        private InFlightPrefill previous = this;
        private InFlightPrefill next = this;

        private InFlightPrefill(long startNanos, double predictedSeconds) {
            this.startNanos = startNanos;
            this.predictedSeconds = predictedSeconds;
        }

        private double elapsedSeconds(long nowNanos) {
            return (nowNanos - startNanos) / NANOS_PER_SECOND;
        }

        private boolean unlink() {
            if (next == this) {
                return false;
            }
            previous.next = next;
            next.previous = previous;
            previous = this;
            next = this;
            return true;
        }
    }

    /** Records a placement with its predicted seconds to the first token. */
    public InFlightPrefill recordPlacement(double predictedSeconds, long nowNanos) {
        InFlightPrefill prefill = new InFlightPrefill(nowNanos, Math.max(1e-3, predictedSeconds));
        prefill.previous = sentinel.previous;
        prefill.next = sentinel;
        sentinel.previous.next = prefill;
        sentinel.previous = prefill;
        return prefill;
    }

    public void recordFirstToken(InFlightPrefill prefill, long nowNanos) {
        if (!prefill.unlink()) {
            return;
        }
        double ratio = prefill.predictedSeconds / Math.max(1e-3, prefill.elapsedSeconds(nowNanos));
        double bounded = Math.max(MIN_FACTOR, Math.min(2, ratio));
        speedFactor = clamp(recoveredFactor(nowNanos) * Math.pow(bounded, SMOOTHING));
        lastSampleNanos = nowNanos;
        isCachedFactorValid = false;
    }

    /** Removes a prefill that was cancelled, without taking a sample. */
    public void cancel(InFlightPrefill prefill) {
        prefill.unlink();
        isCachedFactorValid = false;
    }

    /**
     * Current speed as a share of the announced speed. The value is cached for 10 ms, since each placement decision
     * reads it for every replica.
     */
    public double speedFactor(long nowNanos) {
        if (isCachedFactorValid && nowNanos - cachedFactorNanos < CACHED_FACTOR_NANOS) {
            return cachedFactor;
        }
        double factor = recoveredFactor(nowNanos);
        InFlightPrefill each = sentinel.next;
        for (int i = 0; i < MAX_OVERDUE_CHECKS && each != sentinel; i++) {
            double elapsed = each.elapsedSeconds(nowNanos);
            if (elapsed > OVERDUE_SECONDS + OVERDUE_RATIO * each.predictedSeconds) {
                factor = Math.min(factor, OVERDUE_RATIO * each.predictedSeconds / elapsed);
            }
            each = each.next;
        }
        cachedFactor = clamp(factor);
        cachedFactorNanos = nowNanos;
        isCachedFactorValid = true;
        return cachedFactor;
    }

    private double recoveredFactor(long nowNanos) {
        double seconds = Math.max(0, (nowNanos - lastSampleNanos) / NANOS_PER_SECOND);
        return 1 - (1 - speedFactor) * Math.pow(0.5, seconds / RECOVERY_HALF_LIFE_SECONDS);
    }

    private static double clamp(double value) {
        return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, value));
    }
}
