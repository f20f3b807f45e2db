package org.elmline.core.dispatch;

import java.util.List;
import java.util.Optional;

import org.elmline.core.admission.CallDemand;

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

    /** Milliseconds from its beginning to the first token of the call on servers without other work. */
    default double shortestFirstMillis(DispatchCall call, List<ServerLoad> servers) {
        return 0;
    }

    /** What the call needs of engines; its times are those that it has left. */
    default CallDemand demand(DispatchCall call, List<ServerLoad> servers) {
        double millis = serviceMillis(call, servers);
        return new CallDemand(false, 1, 0, millis, call.memoryTokens(), call.aimLeftMillis());
    }

    /** Whether the calls running on a server rule it out for long calls. */
    default boolean isUnsuitableForLong(ServerLoad server, long now) {
        return false;
    }

    /** Whether the call needs servers that are free of short calls. */
    default boolean isLong(DispatchCall call, List<ServerLoad> servers) {
        return false;
    }
}
