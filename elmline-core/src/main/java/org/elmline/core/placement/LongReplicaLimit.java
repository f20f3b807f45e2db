package org.elmline.core.placement;

import org.elmline.core.common.LengthClass;

/** How far from the long end long work may reach. */
final class LongReplicaLimit {
    private LongReplicaLimit() {}

    /** Prompts over 32k tokens: each takes an engine for seconds to minutes. */
    static boolean isLong(Demand demand) {
        return demand.lengthClass().compareTo(LengthClass.LONG) >= 0;
    }

    /**
     * Number of replicas, counted from the long end, that long work may use. With two or more replicas one is always
     * left over: were long work on all of them, a short request would find no engine whose steps are short.
     */
    static int replicasForLong(int replicas, double maxLongShare) {
        if (replicas < 2) {
            return replicas;
        }
        int share = (int) Math.round(replicas * maxLongShare);
        return Math.max(1, Math.min(replicas - 1, share));
    }
}
