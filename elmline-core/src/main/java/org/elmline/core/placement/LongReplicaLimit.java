package org.elmline.core.placement;

import org.elmline.core.common.LengthClass;

/** Number of replicas, counted from the long end of their order, that long prompts may use. */
final class LongReplicaLimit {
    private LongReplicaLimit() {}

    /** Whether the prompt is over 32k tokens; each of these occupies an engine for seconds to minutes. */
    static boolean isLong(Demand demand) {
        return demand.lengthClass().compareTo(LengthClass.LONG) >= 0;
    }

    /**
     * Number of replicas, counted from the long end, that long prompts may use. With two or more replicas at least one
     * is excluded: with long prefills on every replica, a short request would always run on an engine with long steps.
     *
     * @param maxLongShare largest share of the replicas, 0 to 1
     */
    static int replicasForLong(int replicas, double maxLongShare) {
        if (replicas < 2) {
            return replicas;
        }
        int rounded = (int) Math.round(replicas * maxLongShare);
        return Math.max(1, Math.min(replicas - 1, rounded));
    }
}
