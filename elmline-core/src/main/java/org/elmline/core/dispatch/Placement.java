package org.elmline.core.dispatch;

import java.util.List;
import java.util.Optional;

/** Decides on which servers a call runs. */
interface Placement {
    /**
     * The servers to use now; empty when none is free or waiting is better.
     *
     * @param servers servers that may be used, without those that the call avoids
     * @param partialView whether other dispatchers, whose calls are unknown here, place calls on these servers too
     * @param now monotonic time in nanoseconds
     */
    Optional<PlacementPlan> plan(DispatchCall call, List<ServerLoad> servers, boolean partialView, long now);

    /** Milliseconds that a server works on the call, without waiting time. */
    double serviceMillis(DispatchCall call, List<ServerLoad> servers);

    /** Whether the calls running on a server rule it out for long calls. */
    default boolean isUnsuitableForLong(ServerLoad server, long now) {
        return false;
    }

    /** Whether the call needs servers that are free of short calls. */
    default boolean isLong(DispatchCall call, List<ServerLoad> servers) {
        return false;
    }
}
