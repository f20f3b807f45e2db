package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline: the replica with the fewest open streams; ties go to the first one after a random starting index. */
public final class LeastRequests implements PlacementPolicy {
    @Override
    public String name() {
        return "least-requests";
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        int size = replicas.size();
        if (size == 0) {
            return Optional.empty();
        }
        int start = random.nextInt(size);
        Replica best = null;
        for (int i = 0; i < size; i++) {
            Replica each = replicas.get((start + i) % size);
            if (Eligibility.isEligible(each, demand) && (best == null || each.openStreams() < best.openStreams())) {
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
