package org.elmline.core.placement;

/**
 * Measures an engine's speed against the announced one from first tokens alone: each shows how long a prefill took
 * against its prediction, and one that is overdue counts before it comes. So an engine that runs at a tenth of its
 * speed while it reports no load stands out within seconds. Without new evidence the measure goes back towards 1, so
 * that a mended engine is tried again. Not thread-safe.
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

    /** One prefill under way, linked to those placed before and after it. */
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

    /** Notes a placement with its predicted seconds to the first token. */
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

    /** Forgets a prefill that was given up. */
    public void cancel(InFlightPrefill prefill) {
        prefill.unlink();
        isCachedFactorValid = false;
    }

    /** Speed now as a share of the announced speed; up to 10 ms old, as a decision asks for it of every replica. */
    public double speedFactor(long nowNanos) {
        if (isCachedFactorValid && nowNanos - cachedFactorNanos < CACHED_FACTOR_NANOS) {
            return cachedFactor;
        }
        double now = recoveredFactor(nowNanos);
        InFlightPrefill each = sentinel.next;
        for (int i = 0; i < MAX_OVERDUE_CHECKS && each != sentinel; i++) {
            double elapsed = each.elapsedSeconds(nowNanos);
            if (elapsed > OVERDUE_SECONDS + OVERDUE_RATIO * each.predictedSeconds) {
                now = Math.min(now, OVERDUE_RATIO * each.predictedSeconds / elapsed);
            }
            each = each.next;
        }
        cachedFactor = clamp(now);
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
