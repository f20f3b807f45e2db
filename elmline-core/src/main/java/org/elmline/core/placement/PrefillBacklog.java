package org.elmline.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.elmline.core.common.LengthClass;

/**
 * Estimates the prefill work that remains on one engine, from placements and first tokens alone. Work is drained at
 * the engine's measured speed, the shortest class first and in order of placement within a class; a first token removes
 * its prefill entirely. Without draining, a prefill of one minute would count in full until its end and divert requests
 * from an engine that is almost idle. Costs are in tokens of a short prompt and so include the growth of attention with
 * length. Not thread-safe.
 */
public final class PrefillBacklog {
    /** Share of its cost that a prefill keeps until its first token arrives, however long overdue that is. */
    private static final double MIN_REMAINING_FRACTION = 0.05;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final LengthClass[] CLASSES = LengthClass.values();

    private final double announcedTokensPerSecond;
    private final PrefillSpeedEstimator speedEstimator = new PrefillSpeedEstimator();
    private final double[] remainingTokensByClass = new double[CLASSES.length];
    private final List<Deque<Prefill>> queues = new ArrayList<>();
    private long lastDrainNanos;

    /** One prefill that was placed and has not produced its first token. */
    public static final class Prefill {
        private final LengthClass lengthClass;
        private final double minRemainingTokens;
        private final PrefillSpeedEstimator.InFlightPrefill speedSample;
        private double remainingTokens;
        private boolean isOpen = true;

        private Prefill(LengthClass lengthClass, double cost, PrefillSpeedEstimator.InFlightPrefill sample) {
            this.lengthClass = lengthClass;
            this.speedSample = sample;
            remainingTokens = cost;
            minRemainingTokens = cost * MIN_REMAINING_FRACTION;
        }
    }

    public PrefillBacklog(double announcedTokensPerSecond, long nowNanos) {
        this.announcedTokensPerSecond = announcedTokensPerSecond;
        lastDrainNanos = nowNanos;
        for (int i = 0; i < CLASSES.length; i++) {
            queues.add(new ArrayDeque<>());
        }
    }

    /**
     * Records a placement.
     *
     * @param costTokens see {@link WaitPredictor#costTokens}
     * @param predictedSeconds predicted seconds to its first token
     */
    public Prefill recordPlacement(LengthClass lengthClass, double costTokens, double predictedSeconds, long nowNanos) {
        drain(nowNanos);
        Prefill prefill =
                new Prefill(lengthClass, costTokens, speedEstimator.recordPlacement(predictedSeconds, nowNanos));
        queues.get(lengthClass.ordinal()).addLast(prefill);
        remainingTokensByClass[lengthClass.ordinal()] += costTokens;
        return prefill;
    }

    /** Records the first token of a prefill; a second call does nothing. */
    public void recordFirstToken(Prefill prefill, long nowNanos) {
        if (prefill.isOpen) {
            speedEstimator.recordFirstToken(prefill.speedSample, nowNanos);
            close(prefill, nowNanos);
        }
    }

    /** Removes a prefill that was cancelled or lost; a second call does nothing. */
    public void cancel(Prefill prefill, long nowNanos) {
        if (prefill.isOpen) {
            speedEstimator.cancel(prefill.speedSample);
            close(prefill, nowNanos);
        }
    }

    /** Remaining work of one class, in cost tokens. */
    public double remainingTokens(LengthClass lengthClass, long nowNanos) {
        drain(nowNanos);
        return remainingTokensByClass[lengthClass.ordinal()];
    }

    /** Measured speed, in cost tokens per second. */
    public double tokensPerSecond(long nowNanos) {
        return announcedTokensPerSecond * speedEstimator.speedFactor(nowNanos);
    }

    private void close(Prefill prefill, long nowNanos) {
        drain(nowNanos);
        prefill.isOpen = false;
        int index = prefill.lengthClass.ordinal();
        Deque<Prefill> queue = queues.get(index);
        queue.remove(prefill);
        remainingTokensByClass[index] =
                queue.isEmpty() ? 0 : Math.max(0, remainingTokensByClass[index] - prefill.remainingTokens);
    }

    private void drain(long nowNanos) {
        if (nowNanos <= lastDrainNanos) {
            return;
        }
        double drainableTokens = (nowNanos - lastDrainNanos) / NANOS_PER_SECOND * tokensPerSecond(lastDrainNanos);
        lastDrainNanos = nowNanos;
        for (int i = 0; i < CLASSES.length && drainableTokens > 0; i++) {
            for (Prefill each : queues.get(i)) {
                double drained = Math.min(drainableTokens, Math.max(0, each.remainingTokens - each.minRemainingTokens));
                each.remainingTokens -= drained;
                remainingTokensByClass[i] -= drained;
                drainableTokens -= drained;
                if (drainableTokens <= 0) {
                    return;
                }
            }
        }
    }
}
