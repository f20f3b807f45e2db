package org.elmline.daemon.gateway;

import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.ColdServerLimits;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.Helper;
import org.elmline.core.routing.RoutedService;
import org.elmline.daemon.log.DecisionLog;

/**
 * Keeps this entry to its share of each cold server for calls that were not placed by a single dispatcher. Two
 * dispatchers that do not know of each other could otherwise place calls of this entry on the same server within one
 * second. Used on the I/O thread only.
 */
final class ColdSendLimit {
    private final HostId self;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<ServiceName, ColdServerLimits> limits = new HashMap<>();

    ColdSendLimit(HostId self, MonotonicClock clock, DecisionLog log) {
        this.self = self;
        this.clock = clock;
        this.log = log;
    }

    /** Applies a change of the deployment. */
    void update(Iterable<RoutedService> services, ColdServerTracker tracker) {
        long now = clock.nanos();
        for (RoutedService each : services) {
            ColdServerLimits ofService = limits.computeIfAbsent(each.name(), name -> new ColdServerLimits());
            ofService.updateSenders(true, tracker.shareCandidates(), now);
            ofService.update(tracker.coldServers(each.name()), now);
        }
    }

    /** Whether a call may be sent as granted; counts one that may. */
    boolean tryPass(ServiceName service, DispatchAnswer.Granted granted) {
        ColdServerLimits ofService = limits.get(service);
        if (ofService == null) {
            return true;
        }
        long now = clock.nanos();
        if (!granted.single() && !hasShare(ofService, granted, now)) {
            log.line("cold server not sent to")
                    .with("attempt", granted.attempt())
                    .with("server", granted.server())
                    .write();
            return false;
        }
        ofService.recordSends(granted.server(), self, 1, now);
        return true;
    }

    private boolean hasShare(ColdServerLimits ofService, DispatchAnswer.Granted granted, long now) {
        BackendServerId server = granted.server();
        boolean coldHelper =
                granted.helpers().stream().map(Helper::server).anyMatch(each -> ofService.isCold(each, now));
        return !coldHelper && ofService.canSend(server, self, now);
    }
}
