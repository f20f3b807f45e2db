package org.elmline.core.placement;

/** The one rule that every policy keeps: a replica is used only where the whole reservation fits. */
final class Eligibility {
    private Eligibility() {}

    static boolean isEligible(Replica replica, Demand demand) {
        return replica.freeKvTokens() >= demand.kvTokens() && !demand.excluded().contains(replica.id());
    }
}
