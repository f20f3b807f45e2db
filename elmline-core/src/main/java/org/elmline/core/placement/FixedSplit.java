package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Baseline: a fixed part of the replicas is for long work, the rest for all other; fewest requests within a part. */
public final class FixedSplit implements PlacementPolicy {
    private static final double LONG_PART = 0.5;

    private final ReplicaOrders orders = new ReplicaOrders();

    @Override
    public String name() {
        return "fixed-split";
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        int size = replicas.size();
        int forLong = LongBound.replicasForLong(size, LONG_PART);
        boolean isLong = LongBound.isLong(demand);
        ReplicaOrder order = orders.of(demand.model(), replicas);
        Replica best = null;
        for (int i = 0; i < size; i++) {
            boolean ownPart = size < 2 || order.rank(i) < forLong == isLong;
            Replica each = replicas.get(i);
            if (!ownPart || !Fit.holds(each, demand)) {
                continue;
            }
            if (best == null || each.openStreams() < best.openStreams()) {
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }
}
