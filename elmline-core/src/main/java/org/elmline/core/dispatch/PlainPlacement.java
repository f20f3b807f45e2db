package org.elmline.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Places calls of a plain service on the server with the smallest part of its slots taken, where servers outside the
 * requesting entry's failure domain count as more loaded by a tenth of their slots.
 */
final class PlainPlacement implements Placement {
    /** Load added to a server in another failure domain, as part of its slots. */
    private static final double REMOTE_DOMAIN_PENALTY = 0.1;

    /**
     * Assumed time of one call. Predicts the wait in the queue, from which retry times and refusals of calls that would
     * be late follow.
     */
    private static final double ASSUMED_SERVICE_MILLIS = 50;

    @Override
    public Optional<PlacementPlan> plan(DispatchCall call, List<ServerLoad> servers, boolean partialView, long now) {
        ServerLoad best = null;
        double bestLoad = Double.MAX_VALUE;
        for (ServerLoad each : servers) {
            boolean sameDomain = each.registration().failureDomain().equals(call.failureDomain());
            double load = (double) each.running() / each.slots() + (sameDomain ? 0 : REMOTE_DOMAIN_PENALTY);
            if (each.freeSlots() > 0 && load < bestLoad) {
                best = each;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(server -> PlacementPlan.single(server, 0, 0, ASSUMED_SERVICE_MILLIS));
    }

    @Override
    public double serviceMillis(DispatchCall call, List<ServerLoad> servers) {
        return ASSUMED_SERVICE_MILLIS;
    }
}
