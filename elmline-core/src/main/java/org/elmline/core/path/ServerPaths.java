package org.elmline.core.path;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ServiceName;

/**
 * Tells, for one entry, the servers that it has no path to from those that are down. A server counts as cut off from
 * this entry once the entry fails to connect to it and another entry does not find it down as well. After two servers
 * of a service in a row the whole service does, so that calls do not wait for the connection time-out of each server
 * in turn. Trial connections end that state. Times named {@code now} are monotonic, in nanoseconds. Not safe for
 * concurrent use.
 */
public final class ServerPaths {
    /** Servers of a service that could not be connected, without a success between them, before all count as cut off. */
    private static final int FAILED_SERVERS_BEFORE_CUT = 2;

    /** Time between two trial connections to the servers of a service; a new connection costs a server work. */
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

    private final Map<ServiceName, ServicePath> services = new HashMap<>();

    /** The path to the servers of one service. */
    private static final class ServicePath {
        private final Set<BackendServerId> cutServers = new HashSet<>();
        private final Set<BackendServerId> failedInARow = new HashSet<>();
        private long lastTrialNanos = Long.MIN_VALUE;

        private boolean isWhollyCut() {
            return failedInARow.size() >= FAILED_SERVERS_BEFORE_CUT;
        }
    }

    /** Whether this entry has no path to a server. */
    public boolean isCut(ServiceName service, BackendServerId server) {
        ServicePath path = services.get(service);
        return path != null && (path.isWhollyCut() || path.cutServers.contains(server));
    }

    /** Whether this entry has no path to any server of a service. */
    public boolean isCut(ServiceName service) {
        ServicePath path = services.get(service);
        return path != null && path.isWhollyCut();
    }

    /** Whether this entry has no path to any server of some service. */
    public boolean isAnyServiceCut() {
        return services.values().stream().anyMatch(ServicePath::isWhollyCut);
    }

    /** Records a new connection to a server. */
    public void recordConnected(ServiceName service, BackendServerId server) {
        ServicePath path = services.get(service);
        if (path != null) {
            path.cutServers.remove(server);
            path.failedInARow.clear();
        }
    }

    /** Records that a server did not answer when this entry connected. */
    public void recordUnreachable(ServiceName service, BackendServerId server) {
        ServicePath path = services.computeIfAbsent(service, each -> new ServicePath());
        path.cutServers.add(server);
        path.failedInARow.add(server);
    }

    /**
     * Records that a connection to a server was refused. It shows nothing of the other servers: many that end within a
     * second would otherwise look like a cut path, and a refusal costs no time-out.
     */
    public void recordRefused(ServiceName service, BackendServerId server) {
        services.computeIfAbsent(service, each -> new ServicePath()).cutServers.add(server);
    }

    /** Records that another entry could not connect to a server either: the server is down, and no path is cut. */
    public void recordDown(ServiceName service, BackendServerId server) {
        ServicePath path = services.get(service);
        if (path != null) {
            path.cutServers.remove(server);
            path.failedInARow.remove(server);
        }
    }

    /** Forgets the servers that accept no work any more: a server that has gone shows nothing of the path. */
    public void retain(Predicate<BackendServerId> acceptsWork) {
        for (ServicePath each : services.values()) {
            each.cutServers.removeIf(acceptsWork.negate());
            each.failedInARow.removeIf(acceptsWork.negate());
        }
    }

    /** Whether to try a connection over a path that is cut, which counts as tried from then on. */
    public boolean tryTrial(ServiceName service, long now) {
        ServicePath path = services.get(service);
        if (path == null || path.lastTrialNanos != Long.MIN_VALUE && now - path.lastTrialNanos < TRIAL_INTERVAL_NANOS) {
            return false;
        }
        path.lastTrialNanos = now;
        return true;
    }
}
