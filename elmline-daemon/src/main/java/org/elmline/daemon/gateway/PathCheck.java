package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import io.undertow.client.ClientConnection;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;

/**
 * Finds out, after a connection to a server has failed, whether the entry's own path is cut: it connects to another
 * server of the service. An entry that has just lost its links would otherwise call a sound server down, and with the
 * entry that it forwards for, which has lost them too, take the server away from all. Used on the I/O thread only.
 */
final class PathCheck {
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
        Registration other = otherServer(service, failed);
        if (other == null) {
            result.accept(false);
            return;
        }
        List<Consumer<Boolean>> results = waiting.computeIfAbsent(service, each -> new ArrayList<>());
        results.add(result);
        if (results.size() == 1) {
            connect(service, other);
        }
    }

    private Registration otherServer(ServiceName service, BackendServerId failed) {
        return servers.apply(service).stream()
                .filter(each -> !each.equals(failed) && !links.isCut(each))
                .findFirst()
                .map(registrations)
                .orElse(null);
    }

    private void connect(ServiceName service, Registration other) {
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
                links.recordUnreachable(other.id());
                complete(service, true);
            }
        });
    }

    private void complete(ServiceName service, boolean cut) {
        waiting.remove(service).forEach(each -> each.accept(cut));
    }
}
