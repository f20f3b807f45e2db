package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses one replica for a request. Implementations are registered with {@link java.util.ServiceLoader} and hold no
 * engine state of their own: the state of the engines is passed in.
 */
public interface PlacementPolicy {
    /** The name used in settings and on the command line, for example {@code two-ended}. */
    String name();

    /**
     * Returns the replica to use, or empty if none is eligible.
     *
     * @param replicas ready replicas of the model, ordered by id, none of them excluded by the demand
     */
    Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random);

    /** Returns this policy with other settings; a policy that uses none returns itself. */
    default PlacementPolicy with(PlacementSettings settings) {
        return this;
    }
}
