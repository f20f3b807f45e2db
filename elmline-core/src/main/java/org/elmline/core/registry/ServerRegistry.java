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
 * and a number that increases with every change that followers must receive. Times are nanoseconds of a monotonic
 * clock. Not safe for concurrent use.
 */
public final class ServerRegistry {
    private final long heartbeatTimeoutNanos;
    private final long restoredTimeoutNanos;
    private final long evictionNanos;
    private final Map<BackendServerId, TrackedServer> servers = new HashMap<>();
    private final Map<Address, BackendServerId> byAddress = new HashMap<>();
    private final ColdEnds coldEnds = new ColdEnds();
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
    public ServerRegistry(long heartbeatTimeoutNanos, long restoredTimeoutNanos, long evictionNanos) {
        this.heartbeatTimeoutNanos = heartbeatTimeoutNanos;
        this.restoredTimeoutNanos = restoredTimeoutNanos;
        this.evictionNanos = evictionNanos;
    }

    /**
     * Records a heartbeat that reached this host directly. Returns whether it is a change that followers must receive.
     */
    public boolean onHeartbeat(Registration registration, long now) {
        boolean changed = merge(registration, now);
        TrackedServer tracked = servers.get(registration.id());
        if (tracked != null && tracked.registration.bornMillis() == registration.bornMillis()) {
            tracked.receivedLocally = true;
            tracked.lastLocalHeartbeatNanos = now;
            changed |= recordHeartbeat(tracked, now);
            changed |= recordIfChanged(tracked, coldEnds.recordHeartbeat(registration, now));
        }
        return changed;
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
    public boolean merge(ServerUpdate update, long now) {
        boolean unknown = !servers.containsKey(update.registration().id());
        boolean changed = merge(update.registration(), now);
        if (unknown && changed) {
            servers.get(update.registration().id()).restored = update.remembered();
        }
        TrackedServer tracked = servers.get(update.registration().id());
        if (tracked != null
                && tracked.registration.bornMillis() == update.registration().bornMillis()) {
            changed |= recordIfChanged(tracked, coldEnds.record(update.registration(), update.remembered(), now));
        }
        return changed;
    }

    private boolean recordIfChanged(TrackedServer tracked, boolean changed) {
        if (changed) {
            tracked.changeNumber = ++lastChange;
        }
        return changed;
    }

    /**
     * Merges the time at which another control host received a server's heartbeat. Returns whether it is a change that
     * followers must receive.
     */
    public boolean merge(HeartbeatAge heartbeat, long receivedAtNanos) {
        TrackedServer tracked = servers.get(heartbeat.id());
        boolean known = tracked != null && tracked.registration.bornMillis() == heartbeat.bornMillis();
        return known && recordHeartbeat(tracked, receivedAtNanos);
    }

    /** Records that a server leaves. Returns whether that is a change; for an unknown server it is none. */
    public boolean deregister(BackendServerId id, long now) {
        TrackedServer tracked = servers.get(id);
        return tracked != null && merge(tracked.registration.withState(ServerState.GONE), now);
    }

    private boolean merge(Registration next, long now) {
        TrackedServer tracked = servers.get(next.id());
        if (tracked != null && !next.supersedes(tracked.registration)) {
            return false;
        }
        if (next.state() != ServerState.GONE && losesAddressConflict(next)) {
            return false;
        }
        boolean changed = tracked == null || next.differsFrom(tracked.registration);
        if (tracked == null) {
            tracked = new TrackedServer();
            tracked.lastHeartbeatNanos = now;
            servers.put(next.id(), tracked);
        } else if (next.bornMillis() != tracked.registration.bornMillis()) {
            tracked.lastHeartbeatNanos = now;
            tracked.expired = false;
            tracked.restored = false;
            tracked.receivedLocally = false;
        }
        tracked.registration = next;
        if (changed) {
            tracked.changeNumber = ++lastChange;
        }
        return changed;
    }

    /**
     * Assigns an address to the server that started last. Returns whether another server with a later start holds the
     * address, so that the registration must be ignored. A heartbeat that was delayed by a network partition may arrive
     * after its sender died and another server took over the address. Calls for the old id would then reach the wrong
     * server, so the later start takes precedence.
     */
    private boolean losesAddressConflict(Registration next) {
        BackendServerId holder = byAddress.get(next.address());
        TrackedServer currentHolder = holder == null || holder.equals(next.id()) ? null : servers.get(holder);
        boolean holderIsPresent = currentHolder != null
                && currentHolder.registration.state() != ServerState.GONE
                && currentHolder.registration.address().equals(next.address());
        if (holderIsPresent && currentHolder.registration.bornMillis() > next.bornMillis()) {
            return true;
        }
        if (holderIsPresent) {
            currentHolder.registration = currentHolder.registration.withState(ServerState.GONE);
            currentHolder.changeNumber = ++lastChange;
        }
        byAddress.put(next.address(), next.id());
        return false;
    }

    private boolean recordHeartbeat(TrackedServer tracked, long at) {
        tracked.lastHeartbeatNanos = Math.max(tracked.lastHeartbeatNanos, at);
        if (!tracked.expired && !tracked.restored) {
            return false;
        }
        tracked.expired = false;
        tracked.restored = false;
        tracked.changeNumber = ++lastChange;
        return true;
    }

    /**
     * Counts the time without a heartbeat of each server from now on. A host that starts restores its servers before it
     * opens the port for their heartbeats; it would otherwise report them as expired before they could send one.
     */
    public void restartTimeouts(long now) {
        servers.values().forEach(each -> each.lastHeartbeatNanos = now);
    }

    /** Expires and evicts servers without recent heartbeats. Returns whether a server has expired. */
    public boolean expire(long now) {
        boolean changed = false;
        Iterator<TrackedServer> iterator = servers.values().iterator();
        while (iterator.hasNext()) {
            TrackedServer tracked = iterator.next();
            long age = now - tracked.lastHeartbeatNanos;
            if (age >= evictionNanos) {
                byAddress.remove(tracked.registration.address(), tracked.registration.id());
                coldEnds.remove(tracked.registration.id());
                iterator.remove();
            } else if (age >= (tracked.restored ? restoredTimeoutNanos : heartbeatTimeoutNanos) && !tracked.expired) {
                tracked.expired = true;
                tracked.restored = false;
                tracked.changeNumber = ++lastChange;
                changed = true;
            }
        }
        return changed;
    }

    /** Number of the latest change. */
    public long lastChange() {
        return lastChange;
    }

    /** How long a start of a server stays cold, as known here; null when nothing of that start is known. */
    public ColdReport coldReport(Registration registration, long now) {
        return coldEnds.report(registration, now);
    }

    /**
     * Servers that have changed after a number, in no particular order.
     *
     * @param now when they are sent, from which the time that they stay cold counts
     */
    public List<ServerUpdate> changesSince(long number, long now) {
        List<ServerUpdate> changes = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (each.changeNumber > number) {
                Registration registration = each.registration.withCold(coldEnds.report(each.registration, now));
                changes.add(new ServerUpdate(registration, each.expired, each.restored));
            }
        }
        return changes;
    }

    /** Servers whose heartbeats this host has received directly since a time. */
    public List<HeartbeatAge> localHeartbeatsSince(long sinceNanos, long now) {
        List<HeartbeatAge> heartbeats = new ArrayList<>();
        for (TrackedServer each : servers.values()) {
            if (each.receivedLocally && each.lastLocalHeartbeatNanos - sinceNanos >= 0) {
                Registration registration = each.registration;
                heartbeats.add(new HeartbeatAge(
                        registration.id(),
                        registration.bornMillis(),
                        registration.sequence(),
                        (now - each.lastLocalHeartbeatNanos) / 1_000_000));
            }
        }
        return heartbeats;
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
