package org.elmline.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;

/**
 * Keeps the requests to the cold servers of one service within the rate that they take: a rate limit with an end for
 * each cold server. Times named {@code now} are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class ColdServerLimits {
    private final Map<BackendServerId, ColdPacer> pacers = new HashMap<>();

    /**
     * Servers whose share holders are not chosen yet for the present entries. Choosing them for all cold servers at each
     * change of the entries would take hundreds of thousands of hashes while all processes of a deployment restart.
     */
    private final Set<BackendServerId> unranked = new HashSet<>();

    private List<HostId> entries = List.of();
    private Set<HostId> lost = Set.of();
    private boolean isShared;
    private double requestsPerSecond;
    private long passedOver;

    /** Applies the servers that are cold now. The pace of one that was cold before continues. */
    public void update(ColdServers servers, long now) {
        if (servers.requestsPerSecond() != requestsPerSecond) {
            requestsPerSecond = servers.requestsPerSecond();
            pacers.clear();
        }
        pacers.keySet().retainAll(servers.endsNanos().keySet());
        unranked.retainAll(servers.endsNanos().keySet());
        servers.endsNanos().forEach((server, endNanos) -> {
            ColdPacer known = pacers.get(server);
            if (known == null) {
                pacers.put(server, new ColdPacer(requestsPerSecond, isShared, endNanos, now));
                unranked.add(server);
            } else {
                known.endAt(endNanos);
            }
        });
    }

    /** The pacer of a cold server with the holders of its shares; null for a warm one. */
    private ColdPacer pacer(BackendServerId server) {
        ColdPacer pacer = pacers.get(server);
        if (pacer != null && unranked.remove(server)) {
            Set<HostId> holders = shareHolders(server);
            pacer.shareHolders(
                    holders, (int) holders.stream().filter(lost::contains).count());
        }
        return pacer;
    }

    private Set<HostId> shareHolders(BackendServerId server) {
        return ColdServerShare.firstEntries(server, entries, ColdServerShare.entryCount(requestsPerSecond));
    }

    /** Sets who sends to the servers; no entry is lost. */
    public void updateSenders(boolean shared, Collection<HostId> candidates, long now) {
        updateSenders(shared, candidates, Set.of(), now);
    }

    /**
     * Sets who sends to the servers.
     *
     * @param shared whether other dispatchers, or entries by themselves, may send to them too; each entry then keeps to
     *     its share, see {@link ColdServerShare}
     * @param candidates the entries that shares are given to
     * @param lostEntries those of them that seem to be lost
     */
    public void updateSenders(boolean shared, Collection<HostId> candidates, Set<HostId> lostEntries, long now) {
        isShared = shared;
        boolean changed = !entries.equals(candidates) || !lost.equals(lostEntries);
        entries = changed ? List.copyOf(candidates) : entries;
        lost = changed ? Set.copyOf(lostEntries) : lost;
        pacers.values().forEach(each -> each.shared(shared, now));
        if (changed) {
            unranked.addAll(pacers.keySet());
        }
    }

    /** Whether other dispatchers may send to the servers too. */
    boolean isShared() {
        return isShared;
    }

    /** Whether no server is cold. */
    boolean isEmpty() {
        return pacers.isEmpty();
    }

    /** Whether a server is cold. */
    public boolean isCold(BackendServerId server, long now) {
        ColdPacer pacer = pacers.get(server);
        return pacer != null && pacer.isCold(now);
    }

    /** Whether a request of an entry may be sent to a server now; always for a warm one. */
    public boolean canSend(BackendServerId server, HostId entry, long now) {
        ColdPacer pacer = pacer(server);
        return pacer == null || pacer.canSend(entry, now);
    }

    /** Milliseconds until a request of an entry may be sent to a server; 0 for a warm one. */
    double waitMillis(BackendServerId server, HostId entry, long now) {
        ColdPacer pacer = pacer(server);
        return pacer == null ? 0 : pacer.waitMillis(entry, now);
    }

    /** Milliseconds until a server is warm; 0 for a warm one. */
    double coldMillis(BackendServerId server, long now) {
        ColdPacer pacer = pacers.get(server);
        return pacer == null ? 0 : pacer.coldMillis(now);
    }

    /** Requests that a server takes per millisecond; infinite for a warm one. */
    double requestsPerMilli(BackendServerId server, long now) {
        return isCold(server, now) ? pacer(server).requestsPerMilli() : Double.POSITIVE_INFINITY;
    }

    /** Counts requests of an entry to a server that are sent now. */
    public void recordSends(BackendServerId server, HostId entry, int requests, long now) {
        ColdPacer pacer = pacer(server);
        if (pacer != null) {
            pacer.recordSends(entry, requests, now);
        }
    }

    /** Counts the renewals of memory that running calls hold on cold servers. */
    void chargeRenewals(ServerLoads loads, long now) {
        pacers.forEach((server, pacer) -> {
            ServerLoad load = loads.find(server);
            pacer.chargeRenewals(load == null ? 0 : load.heldReservations(), now);
        });
    }

    /** Counts a placement if it passed over one of these servers because the server is cold. */
    void countPassedOver(List<ServerLoad> usable, List<ServerLoad> chosen, long now) {
        if (pacers.isEmpty()) {
            return;
        }
        boolean passes =
                usable.stream().anyMatch(each -> isCold(each.registration().id(), now) && !chosen.contains(each));
        passedOver += passes ? 1 : 0;
    }

    /** Placements so far that passed over a cold server. */
    public long passedOver() {
        return passedOver;
    }
}
