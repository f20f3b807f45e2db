package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses one replica for a request. Implementations register by {@link java.util.ServiceLoader} and keep no state of
 * engines themselves: all they may use is passed in.
 */
public interface PlacementPolicy {
    /** The name used in settings and on the command line, for example {@code two-ended}. */
    String name();

    /**
     * The replica to use, or empty when none fits.
     *
     * @param replicas ready replicas of the model, ordered by id, none of them excluded by the demand
     */
    Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random);

    /** This policy under other weights; policies without weights are returned as they are. */
    default PlacementPolicy with(PlacementSettings settings) {
        return this;
    }
}
