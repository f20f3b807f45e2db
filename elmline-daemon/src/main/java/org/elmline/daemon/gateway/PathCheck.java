package org.elmline.daemon.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;

import io.undertow.client.ClientConnection;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;

/**
 * Finds out, after a connection to a server has failed, whether the entry's own path is cut: it connects to other
 * servers of the service. An entry that has just lost its links would otherwise call a sound server down, and with the
 * entry that it forwards for, which has lost them too, take the server away from all. Used on the I/O thread only.
 */
final class PathCheck {
    /** Servers that must all refuse a connection before the path counts as cut. */
    private static final int MAX_SERVERS_TRIED = 4;

    private final BackendConnectionPool connections;
    private final Function<ServiceName, List<BackendServerId>> servers;
    private final Function<BackendServerId, Registration> registrations;
    private final DirectLinks links;
    private final Map<ServiceName, List<Consumer<Boolean>>> waiting = new HashMap<>();

    /** @param servers the servers of a service that accept work */
    PathCheck(
            BackendConnectionPool connections,
            Function<ServiceName, List<BackendServerId>> servers,
            Function<BackendServerId, Registration> registrations,
            DirectLinks links) {
        this.connections = connections;
        this.servers = servers;
        this.registrations = registrations;
        this.links = links;
    }

    /**
     * Checks the path to the service of a server that could not be connected.
     *
     * @param result receives whether the path is cut; false when there is no other server to connect to
     */
    void check(BackendServerId failed, Consumer<Boolean> result) {
        Registration registration = registrations.apply(failed);
        if (registration == null || links.isServiceCut(failed)) {
            result.accept(registration != null);
            return;
        }
        ServiceName service = registration.service();
        Deque<Registration> others = otherServers(service, failed);
        if (others.isEmpty()) {
            result.accept(false);
            return;
        }
        List<Consumer<Boolean>> results = waiting.computeIfAbsent(service, each -> new ArrayList<>());
        results.add(result);
        if (results.size() == 1) {
            connectNext(service, others);
        }
    }

    /** Some other servers in random order: when many have ended, the first ones may be among them each time. */
    private Deque<Registration> otherServers(ServiceName service, BackendServerId failed) {
        List<BackendServerId> candidates = new ArrayList<>(servers.apply(service));
        candidates.removeIf(each -> each.equals(failed) || links.isCut(each));
        Collections.shuffle(candidates);
        Deque<Registration> others = new ArrayDeque<>();
        candidates.stream()
                .map(registrations)
                .filter(Objects::nonNull)
                .limit(MAX_SERVERS_TRIED)
                .forEach(others::add);
        return others;
    }

    private void connectNext(ServiceName service, Deque<Registration> others) {
        Registration other = others.poll();
        if (other == null) {
            complete(service, true);
            return;
        }
        Address address = other.address();
        connections.open(address, new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection connection, boolean opened) {
                links.recordConnected(other.id());
                connections.release(address, connection, -1);
                complete(service, false);
            }

            @Override
            public void onFailed(String why) {
                // One time-out is long enough for the caller that waits.
                links.recordUnreachable(other.id());
                complete(service, true);
            }

            @Override
            public void onRefused(String why) {
                links.recordRefused(other.id());
                connectNext(service, others);
            }
        });
    }

    private void complete(ServiceName service, boolean cut) {
        waiting.remove(service).forEach(each -> each.accept(cut));
    }
}
