package org.elmline.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * Places calls of a plain service on the server with the smallest part of its places taken; the caller's own failure
 * domain goes before an equal one elsewhere.
 */
final class PlainPlacement implements Placement {
    /** Part of a server's places that being in another failure domain weighs. */
    private static final double ELSEWHERE = 0.1;

    /** Expected time of one call; only used to tell callers when to come back. */
    private static final double WORK_MILLIS = 50;

    @Override
    public Optional<Plan> plan(PlaceCall call, List<ServerAccount> servers, boolean blind, long now) {
        ServerAccount best = null;
        double bestLoad = Double.MAX_VALUE;
        for (ServerAccount each : servers) {
            boolean near = each.registration().failureDomain().equals(call.failureDomain());
            double load = (double) each.running() / each.places() + (near ? 0 : ELSEWHERE);
            if (each.freePlaces() > 0 && load < bestLoad) {
                best = each;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(server -> Plan.single(server, 0, 0, WORK_MILLIS));
    }

    @Override
    public double workMillis(PlaceCall call, List<ServerAccount> servers) {
        return WORK_MILLIS;
    }
}
