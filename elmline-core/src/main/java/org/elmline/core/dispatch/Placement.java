package org.elmline.core.dispatch;

import java.util.List;
import java.util.Optional;

/** Decides where a call runs now, if anywhere. */
interface Placement {
    /**
     * The place to take now; empty when waiting is better, or nothing is free.
     *
     * @param servers servers that may be used, none that the call avoids
     * @param blind whether others place on these servers, too, of whose calls nothing is known here
     */
    Optional<PlacementPlan> plan(DispatchCall call, List<ServerLoad> servers, boolean blind, long now);

    /** Milliseconds that a server works on the call, waiting not counted. */
    double serviceMillis(DispatchCall call, List<ServerLoad> servers);

    /** Whether a server is kept from long calls by what it does now. */
    default boolean isUnsuitableForLong(ServerLoad server, long now) {
        return false;
    }

    /** Whether a call that waits needs servers that short calls keep away from it. */
    default boolean isLong(DispatchCall call, List<ServerLoad> servers) {
        return false;
    }
}
