package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Baseline: a fixed part of the replicas serves prompts over 32k tokens, the rest all others; within a part, the
 * replica with the fewest open streams is chosen. Thread-safe.
 */
public final class FixedSplit implements PlacementPolicy {
    private static final double LONG_REPLICA_FRACTION = 0.5;

    private final ReplicaOrderCache orders = new ReplicaOrderCache();

    @Override
    public String name() {
        return "fixed-split";
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        int size = replicas.size();
        int longReplicas = LongReplicaLimit.replicasForLong(size, LONG_REPLICA_FRACTION);
        boolean isLong = LongReplicaLimit.isLong(demand);
        ReplicaOrder order = orders.orderFor(demand.model(), replicas);
        Replica best = null;
        for (int i = 0; i < size; i++) {
            boolean isInOwnPart = size < 2 || order.rank(i) < longReplicas == isLong;
            Replica each = replicas.get(i);
            if (!isInOwnPart || !Eligibility.isEligible(each, demand)) {
                continue;
            }
            if (best == null || each.openStreams() < best.openStreams()) {
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
