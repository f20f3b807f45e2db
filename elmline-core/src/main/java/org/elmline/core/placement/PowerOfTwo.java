package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Baseline: of two replicas drawn at random, the one with fewer open streams (Mitzenmacher 1996). A draw that is not
 * eligible is replaced by the next eligible replica.
 */
public final class PowerOfTwo implements PlacementPolicy {
    private final RandomReplica randomReplica = new RandomReplica();

    @Override
    public String name() {
        return "power-of-two";
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        Optional<Replica> first = randomReplica.choose(demand, replicas, random);
        Optional<Replica> second = randomReplica.choose(demand, replicas, random);
        if (first.isEmpty() || second.isEmpty()) {
            return first;
        }
        return second.get().openStreams() < first.get().openStreams() ? second : first;
    }
}
