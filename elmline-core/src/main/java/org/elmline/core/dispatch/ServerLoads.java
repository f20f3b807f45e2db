package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.BatchTiming;

/** The loads of the backend servers that a dispatcher places calls on. Not safe for concurrent use. */
final class ServerLoads {
    private final Map<BackendServerId, ServerLoad> loads = new LinkedHashMap<>();

    /** Updates the servers that may be used now; a server that may not keeps its load while calls run on it. */
    void update(Collection<Registration> usable, BatchTiming timing, long now) {
        loads.values().forEach(ServerLoad::markUnavailable);
        for (Registration each : usable) {
            ServerLoad load = loads.get(each.id());
            if (load == null || load.registration().bornMillis() != each.bornMillis()) {
                loads.put(each.id(), new ServerLoad(each, timing, now));
            } else {
                load.update(each, timing);
            }
        }
        loads.values().removeIf(each -> !each.isAvailable() && each.isIdle());
    }

    /** Applies the limits in force; each is shared by {@code senders} dispatchers that send without coordination. */
    void applyLimits(ServerRateLimits limits, int senders, long now) {
        for (ServerLoad each : loads.values()) {
            each.requestPacer().applyLimit(limits.limitOf(each.registration().id()), senders, now);
        }
    }

    /** The load of a server; null if the server is unknown. */
    ServerLoad find(BackendServerId id) {
        return loads.get(id);
    }

    /**
     * Servers that a call may be sent to. Those in backoff are left out unless that leaves a third or less: a fault in
     * something that all calls share must not make the whole service reject calls.
     */
    List<ServerLoad> usable(Collection<BackendServerId> avoid, long now) {
        List<ServerLoad> healthy = new ArrayList<>(loads.size());
        List<ServerLoad> all = new ArrayList<>(loads.size());
        for (ServerLoad each : loads.values()) {
            if (!each.acceptsCalls() || avoid.contains(each.registration().id())) {
                continue;
            }
            all.add(each);
            if (!each.health().isBackingOff(now)) {
                healthy.add(each);
            }
        }
        return 3 * healthy.size() > all.size() ? healthy : all;
    }

    /** Memory of these servers together, in tokens. */
    static long totalMemoryTokens(List<ServerLoad> servers) {
        long totalTokens = 0;
        for (ServerLoad each : servers) {
            totalTokens += each.timing().memoryTokens();
        }
        return totalTokens;
    }
}
