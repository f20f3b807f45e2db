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
 * A control host's account of the backend servers: the newest registration of each, when it was last heard, and a number
 * that grows with every change worth telling. Not safe for concurrent use.
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
     * @param silentNanos time without a heartbeat after which a server counts as silent
     * @param confirmNanos time without a heartbeat after which a server that is only remembered counts as silent
     * @param forgetNanos time without a heartbeat after which it is forgotten; must outlast any delayed heartbeat, which
     *     would otherwise bring a server back that has left
     */
    public ServerRegistry(long silentNanos, long confirmNanos, long forgetNanos) {
        this.heartbeatTimeoutNanos = silentNanos;
        this.restoredTimeoutNanos = confirmNanos;
        this.evictionNanos = forgetNanos;
    }

    /** Takes a heartbeat that reached this host. Returns whether it is news that must be told. */
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
     * Takes a server that was heard before this host's restart. After a loss of all control hosts servers are heard again
     * only one by one, within a heartbeat; known by the first few alone, they would get all the work.
     */
    public void restore(Registration registration, long now) {
        if (!servers.containsKey(registration.id())) {
            merge(new ServerUpdate(registration, false, true), now);
        }
    }

    /** Takes what another host has told. Returns whether it is news that must be told on. */
    public boolean merge(ServerUpdate news, long now) {
        boolean unknown = !servers.containsKey(news.registration().id());
        boolean told = merge(news.registration(), now);
        if (unknown && told) {
            servers.get(news.registration().id()).restored = news.remembered();
        }
        return told;
    }

    /** Takes the time at which another host heard a server. Returns whether it is news. */
    public boolean merge(HeartbeatAge heard, long heardAtNanos) {
        TrackedServer entry = servers.get(heard.id());
        boolean known = entry != null && entry.registration.bornMillis() == heard.bornMillis();
        return known && recordHeartbeat(entry, heardAtNanos);
    }

    /** The server leaves. Returns whether that is news; unknown servers are no news. */
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
     * Gives an address to its newest holder. A heartbeat that was held up by a cut may come after its sender died and
     * another server took the address: calls to the old id would reach the wrong server, so the later start wins.
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

    /** Lets time pass. Returns whether a server has fallen silent. */
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

    /** Number of the newest change. */
    public long lastChange() {
        return lastChange;
    }

    /** What has changed after a number, in no order. */
    public List<ServerUpdate> changesSince(long number) {
        List<ServerUpdate> news = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (each.changeNumber > number) {
                news.add(new ServerUpdate(each.registration, each.expired, each.restored));
            }
        }
        return news;
    }

    /** The servers that this host itself has heard since a time. */
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

    /** Those that take work and are not silent. */
    public List<Registration> availableServers() {
        List<Registration> all = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (!each.expired && each.registration.state().acceptsWork()) {
                all.add(each.registration);
            }
        }
        return all;
    }

    /** All that is known, those that left included. */
    public Collection<Registration> all() {
        return servers.values().stream().map(each -> each.registration).toList();
    }
}
