package org.elmline.core.placement;

/**
 * The check that every policy applies: a replica is chosen only if it can hold the whole KV reservation and the demand
 * does not exclude it.
 */
final class Eligibility {
    private Eligibility() {}

    static boolean isEligible(Replica replica, Demand demand) {
        return replica.freeKvTokens() >= demand.kvTokens() && !demand.excluded().contains(replica.id());
    }
}
