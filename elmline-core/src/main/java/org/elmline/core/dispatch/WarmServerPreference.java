package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Plans calls on warm servers where these can begin a call within its aim, and on cold ones otherwise. */
final class WarmServerPreference {
    private WarmServerPreference() {}

    /**
     * The plan to use; empty when none is possible now.
     *
     * @param ready servers that may be sent a request now
     */
    static Optional<PlacementPlan> plan(
            Placement placement,
            DispatchCall call,
            List<ServerLoad> ready,
            ColdServerLimits cold,
            boolean partialView,
            long now) {
        List<ServerLoad> warm = new ArrayList<>(ready.size());
        for (ServerLoad each : ready) {
            if (!cold.isCold(each.registration().id(), now)) {
                warm.add(each);
            }
        }
        if (warm.size() == ready.size()) {
            return placement.plan(call, ready, partialView, now);
        }
        Optional<PlacementPlan> onWarm = placement.plan(call, warm, partialView, now);
        if (onWarm.isPresent() && onWarm.get().firstMillis() <= call.aimLeftMillis()) {
            return onWarm;
        }
        Optional<PlacementPlan> onAny = placement.plan(call, ready, partialView, now);
        boolean anyIsSooner = onAny.isPresent()
                && (onWarm.isEmpty() || onAny.get().firstMillis() < onWarm.get().firstMillis());
        return anyIsSooner ? onAny : onWarm;
    }
}
