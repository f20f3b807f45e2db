package org.elmline.daemon.gateway;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientConnection;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.path.RelayChoice;
import org.elmline.core.registry.EntryRecord;

/**
 * Links to the servers themselves, and through another entry to those that this entry has no path to. Used on the I/O
 * thread only.
 */
final class RelayedLinks implements ServerLinks {
    /** Entries tried for one request. Those without a path themselves refuse at once. */
    private static final int MAX_RELAYS_TRIED = 4;

    private final DirectLinks direct;
    private final BackendConnectionPool connections;
    private final Supplier<Collection<EntryRecord>> entries;
    private final RelayChoice relays;
    private final int relayPort;
    private final MonotonicClock clock;
    private final Counter relayed;
    private final Counter refused;

    /**
     * @param entries all live entries
     * @param relayPort port on which entries forward requests, the same on all hosts
     */
    RelayedLinks(
            DirectLinks direct,
            BackendConnectionPool connections,
            Supplier<Collection<EntryRecord>> entries,
            RelayChoice relays,
            int relayPort,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.direct = direct;
        this.connections = connections;
        this.entries = entries;
        this.relays = relays;
        this.relayPort = relayPort;
        this.clock = clock;
        this.relayed = metrics.counter("backend.relays.requested");
        this.refused = metrics.counter("backend.relays.refused");
    }

    @Override
    public LinkSearch newSearch(BackendTarget target, boolean nonRepeatable) {
        return new Search(target, nonRepeatable);
    }

    @Override
    public void release(ServerLink link, int keepAliveSeconds) {
        direct.release(link, keepAliveSeconds);
    }

    @Override
    public boolean isCut(BackendServerId server) {
        return direct.isCut(server);
    }

    /** The server itself unless it counts as cut off, then other entries. */
    private final class Search implements LinkSearch {
        private final BackendTarget target;
        private final boolean nonRepeatable;
        private final Set<HostId> triedRelays = new HashSet<>();
        private boolean directTried;
        private boolean serverDown;

        Search(BackendTarget target, boolean nonRepeatable) {
            this.target = target;
            this.nonRepeatable = nonRepeatable;
        }

        @Override
        public void next(Listener listener) {
            if (directTried) {
                tryRelay("no entry forwards", listener);
                return;
            }
            directTried = true;
            if (direct.isCut(target.server())) {
                direct.tryAgain(target);
                tryRelay("no path to the server", listener);
                return;
            }
            direct.newSearch(target, nonRepeatable).next(new Listener() {
                @Override
                public void onLink(ServerLink link) {
                    listener.onLink(link);
                }

                @Override
                public void onNoLink(String why, boolean down) {
                    tryRelay(why, listener);
                }
            });
        }

        private void tryRelay(String why, Listener listener) {
            Optional<EntryRecord> relay = serverDown || triedRelays.size() >= MAX_RELAYS_TRIED
                    ? Optional.empty()
                    : relays.choose(entries.get(), triedRelays, clock.nanos());
            if (relay.isEmpty()) {
                listener.onNoLink(why, serverDown || !direct.isServiceCut(target.server()));
                return;
            }
            HostId host = relay.get().host();
            triedRelays.add(host);
            relayed.inc();
            Address address = new Address(host.value(), relayPort);
            connections.acquire(address, nonRepeatable, new BackendConnectionPool.AcquireCallback() {
                @Override
                public void onAcquired(ClientConnection connection, boolean opened) {
                    listener.onLink(new ServerLink(connection, address, host));
                }

                @Override
                public void onFailed(String whyNot) {
                    relays.recordUnfit(host, clock.nanos());
                    tryRelay(whyNot, listener);
                }
            });
        }

        @Override
        public void onRefused(ServerLink link, RelayRefusal refusal) {
            refused.inc();
            refusal.record(relays, link.relay(), clock.nanos());
            if (refusal == RelayRefusal.UNREACHABLE) {
                serverDown = true;
                direct.recordDown(target.server());
            }
        }

        @Override
        public void onRelayFailed(ServerLink link) {
            relays.recordUnfit(link.relay(), clock.nanos());
        }
    }
}
