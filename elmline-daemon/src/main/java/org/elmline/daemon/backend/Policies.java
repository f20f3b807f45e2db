package org.elmline.daemon.backend;

import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.random.RandomGenerator;

import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.Replica;
import org.elmline.daemon.settings.PlacementSettings;

/** Finds the placement policy that the settings name among those registered. */
public final class Policies {
    private Policies() {}

    public static PlacementPolicy find(PlacementSettings settings) {
        for (PlacementPolicy each : ServiceLoader.load(PlacementPolicy.class)) {
            if (each.name().equals(settings.policy())) {
                return each;
            }
        }
        return new LeastBacklog();
    }

    private static final class LeastBacklog implements PlacementPolicy {
        @Override
        public String name() {
            return "least-backlog";
        }

        @Override
        public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
            Replica best = null;
            for (Replica each : replicas) {
                boolean fits = each.freeKvTokens() >= demand.kvTokens();
                if (fits && (best == null || each.prefillBacklogTokens() < best.prefillBacklogTokens())) {
                    best = each;
                }
            }
            return Optional.ofNullable(best);
        }
    }
}
