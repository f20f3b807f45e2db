package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/**
 * A control host's registry of the backend servers: the latest registration of each, the time of its last heartbeat,
 * and a number that increases with every change that followers must receive. Not safe for concurrent use.
 */
public final class ServerRegistry {
    private final long heartbeatTimeoutNanos;
    private final long restoredTimeoutNanos;
    private final long evictionNanos;
    private final Map<BackendServerId, TrackedServer> servers = new HashMap<>();
    private final Map<Address, BackendServerId> byAddress = new HashMap<>();
    private long lastChange;

    private static final class TrackedServer {
        private Registration registration;
        private long lastHeartbeatNanos;
        private long lastLocalHeartbeatNanos;
        private boolean receivedLocally;
        private boolean expired;
        private boolean restored;
        private long changeNumber;
    }

    /**
     * @param heartbeatTimeoutNanos time without a heartbeat after which a server counts as expired
     * @param restoredTimeoutNanos time without a heartbeat after which a server counts as expired that was restored
     *     after a restart and has not sent a heartbeat since
     * @param evictionNanos time without a heartbeat after which a server is evicted; must exceed the delay of any
     *     heartbeat, as a later one would register a server again that has left
     */
    public ServerRegistry(long silentNanos, long confirmNanos, long forgetNanos) {
        this.heartbeatTimeoutNanos = silentNanos;
        this.restoredTimeoutNanos = confirmNanos;
        this.evictionNanos = forgetNanos;
    }

    /**
     * Records a heartbeat that reached this host directly. Returns whether it is a change that followers must receive.
     */
    public boolean onHeartbeat(Registration registration, long now) {
        boolean news = merge(registration, now);
        TrackedServer entry = servers.get(registration.id());
        if (entry != null && entry.registration.bornMillis() == registration.bornMillis()) {
            entry.receivedLocally = true;
            entry.lastLocalHeartbeatNanos = now;
            news |= recordHeartbeat(entry, now);
        }
        return news;
    }

    /**
     * Restores a server that was registered before this host's restart. After a loss of all control hosts, the
     * heartbeats of the servers arrive one by one over a heartbeat interval; without the restored servers, the first
     * few to arrive would receive all calls.
     */
    public void restore(Registration registration, long now) {
        if (!servers.containsKey(registration.id())) {
            merge(new ServerUpdate(registration, false, true), now);
        }
    }

    /** Merges another control host's update. Returns whether it is a change that followers must receive. */
    public boolean merge(ServerUpdate news, long now) {
        boolean unknown = !servers.containsKey(news.registration().id());
        boolean told = merge(news.registration(), now);
        if (unknown && told) {
            servers.get(news.registration().id()).restored = news.remembered();
        }
        return told;
    }

    /**
     * Merges the time at which another control host received a server's heartbeat. Returns whether it is a change that
     * followers must receive.
     */
    public boolean merge(HeartbeatAge heard, long heardAtNanos) {
        TrackedServer entry = servers.get(heard.id());
        boolean known = entry != null && entry.registration.bornMillis() == heard.bornMillis();
        return known && recordHeartbeat(entry, heardAtNanos);
    }

    /** Records that a server leaves. Returns whether that is a change; for an unknown server it is none. */
    public boolean deregister(BackendServerId id, long now) {
        TrackedServer entry = servers.get(id);
        return entry != null && merge(entry.registration.withState(ServerState.GONE), now);
    }

    private boolean merge(Registration next, long now) {
        TrackedServer entry = servers.get(next.id());
        if (entry != null && !next.supersedes(entry.registration)) {
            return false;
        }
        if (next.state() != ServerState.GONE && isAddressTaken(next)) {
            return false;
        }
        boolean news = entry == null || next.differsFrom(entry.registration);
        if (entry == null) {
            entry = new TrackedServer();
            entry.lastHeartbeatNanos = now;
            servers.put(next.id(), entry);
        } else if (next.bornMillis() != entry.registration.bornMillis()) {
            entry.lastHeartbeatNanos = now;
            entry.expired = false;
            entry.restored = false;
            entry.receivedLocally = false;
        }
        entry.registration = next;
        if (news) {
            entry.changeNumber = ++lastChange;
        }
        return news;
    }

    /**
     * Assigns an address to the server that started last. Returns whether another server with a later start holds the
     * address. A heartbeat that was delayed by a network partition may arrive after its sender died and another server
     * took over the address. Calls for the old id would then reach the wrong server, so the later start takes
     * precedence.
     */
    private boolean isAddressTaken(Registration next) {
        BackendServerId holder = byAddress.get(next.address());
        TrackedServer other = holder == null || holder.equals(next.id()) ? null : servers.get(holder);
        boolean lives = other != null
                && other.registration.state() != ServerState.GONE
                && other.registration.address().equals(next.address());
        if (lives && other.registration.bornMillis() > next.bornMillis()) {
            return true;
        }
        if (lives) {
            other.registration = other.registration.withState(ServerState.GONE);
            other.changeNumber = ++lastChange;
        }
        byAddress.put(next.address(), next.id());
        return false;
    }

    private boolean recordHeartbeat(TrackedServer entry, long at) {
        entry.lastHeartbeatNanos = Math.max(entry.lastHeartbeatNanos, at);
        if (!entry.expired && !entry.restored) {
            return false;
        }
        entry.expired = false;
        entry.restored = false;
        entry.changeNumber = ++lastChange;
        return true;
    }

    /** Expires and evicts servers without recent heartbeats. Returns whether a server has expired. */
    public boolean expire(long now) {
        boolean news = false;
        Iterator<TrackedServer> each = servers.values().iterator();
        while (each.hasNext()) {
            TrackedServer entry = each.next();
            long age = now - entry.lastHeartbeatNanos;
            if (age >= evictionNanos) {
                byAddress.remove(entry.registration.address(), entry.registration.id());
                each.remove();
            } else if (age >= (entry.restored ? restoredTimeoutNanos : heartbeatTimeoutNanos) && !entry.expired) {
                entry.expired = true;
                entry.restored = false;
                entry.changeNumber = ++lastChange;
                news = true;
            }
        }
        return news;
    }

    /** Number of the latest change. */
    public long lastChange() {
        return lastChange;
    }

    /** Servers that have changed after a number, in no particular order. */
    public List<ServerUpdate> changesSince(long number) {
        List<ServerUpdate> news = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (each.changeNumber > number) {
                news.add(new ServerUpdate(each.registration, each.expired, each.restored));
            }
        }
        return news;
    }

    /** Servers whose heartbeats this host has received directly since a time. */
    public List<HeartbeatAge> localHeartbeatsSince(long sinceNanos, long now) {
        List<HeartbeatAge> heard = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (each.receivedLocally && each.lastLocalHeartbeatNanos - sinceNanos >= 0) {
                Registration registration = each.registration;
                heard.add(new HeartbeatAge(
                        registration.id(),
                        registration.bornMillis(),
                        registration.sequence(),
                        (now - each.lastLocalHeartbeatNanos) / 1_000_000));
            }
        }
        return heard;
    }

    /** Servers that accept work and have not expired. */
    public List<Registration> availableServers() {
        List<Registration> all = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (!each.expired && each.registration.state().acceptsWork()) {
                all.add(each.registration);
            }
        }
        return all;
    }

    /** All known servers, including those that have left. */
    public Collection<Registration> all() {
        return servers.values().stream().map(each -> each.registration).toList();
    }
}
