package org.elmline.core.placement;

import org.elmline.core.common.LengthClass;

/** Predicts, from a replica's ledger, the time to first token of a request placed there. Allocates nothing. */
public final class WaitPredictor {
    private static final LengthClass[] CLASSES = LengthClass.values();
    /** Share by which the decoding of each open stream slows a step. */
    private static final double SLOWDOWN_PER_STREAM = 0.003;

    private static final double MEDIUM_STEP_FACTOR = 0.1;
    private static final double LONG_STEP_FACTOR = 0.3;

    private final PlacementSettings settings;

    public WaitPredictor(PlacementSettings settings) {
        this.settings = settings;
    }

    /** Seconds until the first token: the prefills that the engine runs before, and the prompt's own. */
    public double secondsToFirstToken(Demand demand, Replica replica) {
        return secondsToFirstToken(demand, replica, prefillSeconds(demand, replica));
    }

    /** The same, for a caller that has already computed {@link #prefillSeconds}. */
    double secondsToFirstToken(Demand demand, Replica replica, double ownSeconds) {
        double unslowedSeconds = ownSeconds + queuedSeconds(demand.lengthClass(), replica);
        return unslowedSeconds * (1 + replica.openStreams() * SLOWDOWN_PER_STREAM);
    }

    /** Seconds of prefill that the demand needs on the replica, without its cached prefix. */
    public double prefillSeconds(Demand demand, Replica replica) {
        return costTokens(demand.promptTokens(), replica.cachedTokens(demand)) / prefillRate(replica);
    }

    /** Cost of a prefill in tokens of a short prompt; attention makes tokens with a longer context more expensive. */
    public double costTokens(int promptTokens, int cachedTokens) {
        int uncached = Math.max(1, promptTokens - cachedTokens);
        double meanContext = (promptTokens + (double) cachedTokens) / 2;
        return uncached * (1 + meanContext / settings.attentionDoublingTokens());
    }

    private double queuedSeconds(LengthClass own, Replica replica) {
        double tokens = 0;
        double step = 0;
        for (LengthClass each : CLASSES) {
            long backlog = replica.prefillBacklogTokens(each);
            if (settings.priority(each) > settings.priority(own)) {
                step = backlog > 0 ? stepSeconds(each) : step;
                continue;
            }
            tokens += backlog;
        }
        // A less urgent prefill is preempted only between steps, and its chunks make those steps long.
        return tokens / prefillRate(replica) + step;
    }

    /** Whether the replica has prefills of a less urgent class, which the demand would preempt. */
    boolean hasLessUrgentPrefill(Demand demand, Replica replica) {
        int own = settings.priority(demand.lengthClass());
        for (LengthClass each : CLASSES) {
            if (settings.priority(each) > own && replica.prefillBacklogTokens(each) > 0) {
                return true;
            }
        }
        return false;
    }

    /** Duration of a step that prefills a class; a longer context takes more attention and makes a longer step. */
    private double stepSeconds(LengthClass prefilling) {
        return switch (prefilling) {
            case SHORT, MEDIUM -> settings.longStepSeconds() * MEDIUM_STEP_FACTOR;
            case LONG -> settings.longStepSeconds() * LONG_STEP_FACTOR;
            case HUGE -> settings.longStepSeconds();
        };
    }

    private static double prefillRate(Replica replica) {
        return Math.max(1, replica.prefillTokensPerSecond());
    }
}
