package org.elmline.core.placement;

/**
 * Measures an engine's speed against the announced one from first tokens alone: each shows how long a prefill took
 * against its prediction, and one that is overdue counts before it comes. So an engine that runs at a tenth of its
 * speed while it reports no load stands out within seconds. Without new evidence the measure goes back towards 1, so
 * that a mended engine is tried again. Not thread-safe.
 */
public final class SpeedMeter {
    private static final double SMOOTHING = 0.1;
    private static final double LEAST = 0.02;
    private static final double MOST = 1.5;
    private static final double RECOVERY_HALF_LIFE_SECONDS = 30;
    private static final double OVERDUE_SECONDS = 0.5;
    private static final double OVERDUE_RATIO = 3;
    private static final int OLDEST_LOOKED_AT = 8;
    private static final long FRESH_NANOS = 10_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Prefill oldest = new Prefill(0, 0);
    private double factor = 1;
    private long evidenceNanos;
    private double lastAnswer;
    private long lastAnswerNanos;
    private boolean answerFresh;

    /** One prefill under way, linked to those placed before and after it. */
    public static final class Prefill {
        private final long startNanos;
        private final double predictedSeconds;
        private Prefill before = this;
        private Prefill after = this;

        private Prefill(long startNanos, double predictedSeconds) {
            this.startNanos = startNanos;
            this.predictedSeconds = predictedSeconds;
        }

        private double elapsedSeconds(long nowNanos) {
            return (nowNanos - startNanos) / NANOS_PER_SECOND;
        }

        private boolean unlink() {
            if (after == this) {
                return false;
            }
            before.after = after;
            after.before = before;
            before = this;
            after = this;
            return true;
        }
    }

    /** Notes a placement with its predicted seconds to the first token. */
    public Prefill placed(double predictedSeconds, long nowNanos) {
        Prefill prefill = new Prefill(nowNanos, Math.max(1e-3, predictedSeconds));
        prefill.before = oldest.before;
        prefill.after = oldest;
        oldest.before.after = prefill;
        oldest.before = prefill;
        return prefill;
    }

    public void firstToken(Prefill prefill, long nowNanos) {
        if (!prefill.unlink()) {
            return;
        }
        double ratio = prefill.predictedSeconds / Math.max(1e-3, prefill.elapsedSeconds(nowNanos));
        double bounded = Math.max(LEAST, Math.min(2, ratio));
        factor = clip(recovered(nowNanos) * Math.pow(bounded, SMOOTHING));
        evidenceNanos = nowNanos;
        answerFresh = false;
    }

    /** Forgets a prefill that was given up. */
    public void dropped(Prefill prefill) {
        prefill.unlink();
        answerFresh = false;
    }

    /** Speed now as a share of the announced speed; up to 10 ms old, as a decision asks for it of every replica. */
    public double factor(long nowNanos) {
        if (answerFresh && nowNanos - lastAnswerNanos < FRESH_NANOS) {
            return lastAnswer;
        }
        double now = recovered(nowNanos);
        Prefill each = oldest.after;
        for (int i = 0; i < OLDEST_LOOKED_AT && each != oldest; i++) {
            double elapsed = each.elapsedSeconds(nowNanos);
            if (elapsed > OVERDUE_SECONDS + OVERDUE_RATIO * each.predictedSeconds) {
                now = Math.min(now, OVERDUE_RATIO * each.predictedSeconds / elapsed);
            }
            each = each.after;
        }
        lastAnswer = clip(now);
        lastAnswerNanos = nowNanos;
        answerFresh = true;
        return lastAnswer;
    }

    private double recovered(long nowNanos) {
        double seconds = Math.max(0, (nowNanos - evidenceNanos) / NANOS_PER_SECOND);
        return 1 - (1 - factor) * Math.pow(0.5, seconds / RECOVERY_HALF_LIFE_SECONDS);
    }

    private static double clip(double value) {
        return Math.max(LEAST, Math.min(MOST, value));
    }
}
