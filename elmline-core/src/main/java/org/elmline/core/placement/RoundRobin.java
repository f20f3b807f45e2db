package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/** Baseline: replicas in turn, skipping those that are not eligible. Thread-safe. */
public final class RoundRobin implements PlacementPolicy {
    private final AtomicInteger next = new AtomicInteger();

    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        int size = replicas.size();
        if (size == 0) {
            return Optional.empty();
        }
        int start = Math.floorMod(next.getAndIncrement(), size);
        for (int i = 0; i < size; i++) {
            Replica each = replicas.get((start + i) % size);
            if (Eligibility.isEligible(each, demand)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }
}
