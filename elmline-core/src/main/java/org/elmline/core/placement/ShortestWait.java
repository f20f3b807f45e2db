package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the replica with the shortest predicted time to first token. Predictions account for prompt lengths, but long
 * and short prompts share all replicas. Thread-safe.
 */
public final class ShortestWait implements PlacementPolicy {
    private final WaitPredictor predictor;

    public ShortestWait() {
        this(PlacementSettings.defaults());
    }

    public ShortestWait(PlacementSettings settings) {
        predictor = new WaitPredictor(settings);
    }

    @Override
    public String name() {
        return "shortest-wait";
    }

    @Override
    public PlacementPolicy with(PlacementSettings settings) {
        return new ShortestWait(settings);
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        Replica best = null;
        double shortestSeconds = Double.POSITIVE_INFINITY;
        for (Replica each : replicas) {
            if (!Eligibility.isEligible(each, demand)) {
                continue;
            }
            double wait = predictor.secondsToFirstToken(demand, each);
            if (wait < shortestSeconds) {
                shortestSeconds = wait;
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
