package org.elmline.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.registry.ColdEnds;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;

/**
 * The cold servers of one service.
 *
 * @param requestsPerSecond requests that each of them takes from all entries together
 * @param endsNanos when each of them stops being cold, by the monotonic clock
 */
public record ColdServers(double requestsPerSecond, Map<BackendServerId, Long> endsNanos) {
    public static final ColdServers NONE = new ColdServers(0, Map.of());

    public ColdServers {
        endsNanos = Map.copyOf(endsNanos);
    }

    /** The servers of a service, among some that may be used, that are cold now. */
    public static ColdServers of(RoutedService service, Collection<Registration> usable, ColdEnds ends, long now) {
        if (!service.cold().isPossible()) {
            return NONE;
        }
        Map<BackendServerId, Long> endsNanos = new HashMap<>();
        for (Registration each : usable) {
            long endNanos = each.service().equals(service.name())
                    ? ends.endNanos(each, service.cold().millis(), now)
                    : now;
            if (now - endNanos < 0) {
                endsNanos.put(each.id(), endNanos);
            }
        }
        return new ColdServers(service.cold().requestsPerSecond(), endsNanos);
    }
}
