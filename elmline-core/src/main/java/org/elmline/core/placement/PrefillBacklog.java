package org.elmline.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.elmline.core.common.LengthClass;

/**
 * Estimates what prefill work is left on one engine, from placements and first tokens alone. Work drains at the engine's
 * measured speed, the shortest class first and each class in its order; a first token says for certain that one is
 * done. Without the draining, a read of a minute would count whole until its end and keep others away from an engine
 * that is almost free. Cost is in tokens of a short prompt, so that attention's growth with length is in it. Not
 * thread-safe.
 */
public final class PrefillBacklog {
    /** A prefill whose first token hasn't come keeps this share of its cost, however long ago it should have. */
    private static final double LEAST_LEFT = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final LengthClass[] CLASSES = LengthClass.values();

    private final double announcedTokensPerSecond;
    private final SpeedMeter speed = new SpeedMeter();
    private final double[] left = new double[CLASSES.length];
    private final List<Deque<Prefill>> queues = new ArrayList<>();
    private long lastNanos;

    /** One prefill that is placed and has no first token yet. */
    public static final class Prefill {
        private final LengthClass lengthClass;
        private final double floor;
        private final SpeedMeter.Prefill timing;
        private double left;
        private boolean open = true;

        private Prefill(LengthClass lengthClass, double cost, SpeedMeter.Prefill timing) {
            this.lengthClass = lengthClass;
            this.timing = timing;
            left = cost;
            floor = cost * LEAST_LEFT;
        }
    }

    public PrefillBacklog(double announcedTokensPerSecond, long nowNanos) {
        this.announcedTokensPerSecond = announcedTokensPerSecond;
        lastNanos = nowNanos;
        for (int i = 0; i < CLASSES.length; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    /**
     * Notes a placement.
     *
     * @param costTokens see {@link WaitPredictor#costTokens}
     * @param predictedSeconds until its first token
     */
    public Prefill placed(LengthClass lengthClass, double costTokens, double predictedSeconds, long nowNanos) {
        drain(nowNanos);
        Prefill prefill = new Prefill(lengthClass, costTokens, speed.placed(predictedSeconds, nowNanos));
        queues.get(lengthClass.ordinal()).addLast(prefill);
        left[lengthClass.ordinal()] += costTokens;
        return prefill;
    }

    /** The first token came; a second call does nothing. */
    public void firstToken(Prefill prefill, long nowNanos) {
        if (prefill.open) {
            speed.firstToken(prefill.timing, nowNanos);
            close(prefill, nowNanos);
        }
    }

    /** The prefill was given up or lost; a second call does nothing. */
    public void dropped(Prefill prefill, long nowNanos) {
        if (prefill.open) {
            speed.dropped(prefill.timing);
            close(prefill, nowNanos);
        }
    }

    /** Cost tokens left of one class. */
    public double tokens(LengthClass lengthClass, long nowNanos) {
        drain(nowNanos);
        return left[lengthClass.ordinal()];
    }

    /** Measured speed, in cost tokens a second. */
    public double tokensPerSecond(long nowNanos) {
        return announcedTokensPerSecond * speed.factor(nowNanos);
    }

    private void close(Prefill prefill, long nowNanos) {
        drain(nowNanos);
        prefill.open = false;
        int index = prefill.lengthClass.ordinal();
        Deque<Prefill> queue = queues.get(index);
        queue.remove(prefill);
        left[index] = queue.isEmpty() ? 0 : Math.max(0, left[index] - prefill.left);
    }

    private void drain(long nowNanos) {
        if (nowNanos <= lastNanos) {
            return;
        }
        double budget = (nowNanos - lastNanos) / NANOS_PER_SECOND * tokensPerSecond(lastNanos);
        lastNanos = nowNanos;
        for (int i = 0; i < CLASSES.length && budget > 0; i++) {
            for (Prefill each : queues.get(i)) {
                double done = Math.min(budget, Math.max(0, each.left - each.floor));
                each.left -= done;
                left[i] -= done;
                budget -= done;
                if (budget <= 0) {
                    return;
                }
            }
        }
    }
}
