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
        if (registration != null && links.isServiceCut(failed)) {
            result.accept(true);
        } else {
            connectToOthers(failed, false, result);
        }
    }

    /**
     * The same without regard to what earlier connections have shown: servers that end one after the other may have
     * made the path look cut.
     *
     * @param cutIfAlone the result when there is no other server to connect to
     */
    void connectToOthers(BackendServerId failed, boolean cutIfAlone, Consumer<Boolean> result) {
        Registration registration = registrations.apply(failed);
        if (registration == null) {
            result.accept(cutIfAlone);
            return;
        }
        ServiceName service = registration.service();
        Deque<Registration> others = otherServers(service, failed);
        if (others.isEmpty()) {
            result.accept(cutIfAlone);
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
        candidates.remove(failed);
        if (!candidates.stream().allMatch(links::isCut)) {
            candidates.removeIf(links::isCut);
        }
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
        connect(other, new Result() {
            @Override
            public void onAccepted() {
                complete(service, false);
            }

            @Override
            public void onTimedOut() {
                connectToRest(service, others);
            }

            @Override
            public void onRefused() {
                connectNext(service, others);
            }
        });
    }

    /** Connects to all others at once after a time-out: a caller waits, and a second time-out must be the last one. */
    private void connectToRest(ServiceName service, Deque<Registration> others) {
        int[] pending = {others.size()};
        if (others.isEmpty()) {
            complete(service, true);
        }
        for (Registration each : others) {
            connect(each, new Result() {
                @Override
                public void onAccepted() {
                    complete(service, false);
                }

                @Override
                public void onTimedOut() {
                    pending[0]--;
                    if (pending[0] == 0) {
                        complete(service, true);
                    }
                }
            });
        }
    }

    /** The result of connecting to one server. */
    private interface Result {
        void onAccepted();

        void onTimedOut();

        default void onRefused() {
            onTimedOut();
        }
    }

    private void connect(Registration server, Result result) {
        Address address = server.address();
        connections.open(address, new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection connection, boolean opened) {
                links.recordConnected(server.id());
                connections.release(address, connection, -1);
                result.onAccepted();
            }

            @Override
            public void onFailed(String why) {
                links.recordUnreachable(server.id());
                result.onTimedOut();
            }

            @Override
            public void onRefused(String why) {
                links.recordRefused(server.id());
                result.onRefused();
            }
        });
    }

    /** Reports the result to all that wait for it; nothing once one is reported. */
    private void complete(ServiceName service, boolean cut) {
        List<Consumer<Boolean>> results = waiting.remove(service);
        if (results != null) {
            results.forEach(each -> each.accept(cut));
        }
    }
}
