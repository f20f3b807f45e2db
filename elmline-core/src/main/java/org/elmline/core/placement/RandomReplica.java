package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline: the first eligible replica after a random starting index. */
public final class RandomReplica implements PlacementPolicy {
    @Override
    public String name() {
        return "random";
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        int size = replicas.size();
        if (size == 0) {
            return Optional.empty();
        }
        int start = random.nextInt(size);
        for (int i = 0; i < size; i++) {
            Replica each = replicas.get((start + i) % size);
            if (Eligibility.isEligible(each, demand)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }
}
