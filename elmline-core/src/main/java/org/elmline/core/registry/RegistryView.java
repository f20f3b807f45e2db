package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;

/**
 * A follower's view of the registries of several control hosts: the union of their answers. A partitioned control host
 * receives no heartbeats and reports every server as expired, so a server counts as expired only when all answering
 * control hosts report it so, and an entry counts as alive when any of them reports it alive. Times are nanoseconds of
 * a monotonic clock. Not safe for concurrent use.
 */
public final class RegistryView {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which the union is cached while nothing changes, as every routed call reads it several times. */
    private static final long UNION_CACHE_NANOS = 50 * NANOS_PER_MILLI;

    private long answerValidityNanos;
    private final long serverWarmUpNanos;
    private final long entryWarmUpNanos;
    private final Map<BackendServerId, Registration> servers = new HashMap<>();
    private final ColdEnds coldEnds = new ColdEnds();
    private final Map<Address, ControlHostView> controlHostViews = new HashMap<>();
    private Union union;
    private Union lastUnion;

    /** The combined state of all answering control hosts. */
    private record Union(long createdAtNanos, List<Registration> usable, List<EntryRecord> entries) {
        Union reuseListsOf(Union before) {
            return new Union(
                    createdAtNanos,
                    haveSameElements(usable, before.usable) ? before.usable : usable,
                    haveSameElements(entries, before.entries) ? before.entries : entries);
        }

        private static <T> boolean haveSameElements(List<T> a, List<T> b) {
            if (a.size() != b.size()) {
                return false;
            }
            for (int i = 0; i < a.size(); i++) {
                if (a.get(i) != b.get(i)) {
                    return false;
                }
            }
            return true;
        }
    }

    private static final class ControlHostView {
        private long lastAnswerNanos;
        private long epoch;
        private long warmUpEndNanos;
        private long upSinceNanos;
        private boolean unconfirmed;
        private long unconfirmedSinceNanos;
        private final Set<BackendServerId> alive = new HashSet<>();
        private final Set<BackendServerId> expired = new HashSet<>();
        private final Set<BackendServerId> restored = new HashSet<>();
        private final Set<BackendServerId> aliveBeforeRestart = new HashSet<>();
        private Map<HostId, EntryRecord> entries = new HashMap<>();

        /** Applies a server's update. Returns whether it changed this view. */
        boolean apply(ServerUpdate update) {
            BackendServerId id = update.registration().id();
            boolean receivesHeartbeats = !update.silent() && !update.remembered();
            aliveBeforeRestart.remove(id);
            boolean changed = receivesHeartbeats ? alive.add(id) : alive.remove(id);
            changed |= update.silent() ? expired.add(id) : expired.remove(id);
            changed |= update.remembered() ? restored.add(id) : restored.remove(id);
            return changed;
        }

        /** Applies the entries of an answer. Returns whether they changed this view. */
        boolean applyEntries(FollowAnswer answer) {
            boolean changed = false;
            if (answer.entries() != null) {
                Map<HostId, EntryRecord> before = entries;
                entries = new HashMap<>();
                answer.entries().forEach(each -> entries.put(each.host(), each));
                changed = !entries.equals(before);
            }
            for (EntryUpdate each : answer.entryNews()) {
                EntryRecord entry = each.entry();
                EntryRecord before = each.gone() ? entries.remove(entry.host()) : entries.put(entry.host(), entry);
                changed |= each.gone() ? before != null : !entry.equals(before);
            }
            return changed;
        }

        boolean isAlive(BackendServerId id, long now) {
            boolean warmingUp = now - warmUpEndNanos < 0;
            return alive.contains(id) || (warmingUp && aliveBeforeRestart.contains(id));
        }

        /** The last moment for which a leader's confirmation of this host's routing table is known. */
        long confirmedAtNanos() {
            return unconfirmed ? unconfirmedSinceNanos : lastAnswerNanos;
        }
    }

    /**
     * @param answerValidityNanos how long after an answer a control host's state is used
     * @param serverWarmUpNanos time after a control host's restart within which all servers send it a heartbeat
     * @param entryWarmUpNanos time after a control host's restart within which all entries poll it
     */
    public RegistryView(long answerValidityNanos, long serverWarmUpNanos, long entryWarmUpNanos) {
        this.answerValidityNanos = answerValidityNanos;
        this.serverWarmUpNanos = serverWarmUpNanos;
        this.entryWarmUpNanos = entryWarmUpNanos;
    }

    /** Changes how long after an answer a control host's state is used, in nanoseconds. */
    public void updateAnswerValidity(long nanos) {
        answerValidityNanos = nanos;
    }

    /** Applies a control host's answer. Returns whether it changed the view. */
    public boolean apply(Address from, FollowAnswer answer, long now) {
        ControlHostView view = controlHostViews.computeIfAbsent(from, address -> new ControlHostView());
        boolean changed = false;
        if (view.epoch != answer.epoch()) {
            resetAfterRestart(view, answer.epoch(), now);
            changed = true;
        }
        changed |= now - view.lastAnswerNanos >= answerValidityNanos;
        view.lastAnswerNanos = now;
        view.upSinceNanos = now - answer.upMillis() * NANOS_PER_MILLI;
        view.unconfirmed = answer.unconfirmedMillis() > 0;
        view.unconfirmedSinceNanos = now - answer.unconfirmedMillis() * NANOS_PER_MILLI;
        for (ServerUpdate each : answer.servers()) {
            changed |= apply(each.registration());
            changed |= coldEnds.record(each.registration(), each.remembered(), now);
            changed |= view.apply(each);
        }
        changed |= view.applyEntries(answer);
        if (changed) {
            union = null;
        }
        return changed;
    }

    /**
     * Resets the state of a control host that has restarted and has not received any heartbeats yet. If all control
     * hosts restart at once, every server would seem to be expired and all calls would be rejected. So the servers that
     * were alive before the restart count as alive until the warm-up time has passed, within which their heartbeats
     * arrive again.
     */
    private void resetAfterRestart(ControlHostView view, long epoch, long now) {
        view.aliveBeforeRestart.addAll(view.alive);
        view.alive.clear();
        view.expired.clear();
        view.restored.clear();
        view.epoch = epoch;
        view.warmUpEndNanos = now + serverWarmUpNanos;
    }

    private boolean apply(Registration next) {
        Registration known = servers.get(next.id());
        if (known != null && !next.supersedes(known)) {
            return false;
        }
        servers.put(next.id(), next);
        return known == null || next.differsFrom(known);
    }

    private Union union(long now) {
        if (union == null || now - union.createdAtNanos() >= UNION_CACHE_NANOS) {
            List<ControlHostView> current = currentViews(now);
            Union next = new Union(now, usable(current, now), entries(current));
            // Reuses the previous lists when their elements are the same, so that callers need not recompute what they
            // derive from these lists.
            union = lastUnion == null ? next : next.reuseListsOf(lastUnion);
            lastUnion = union;
        }
        return union;
    }

    /** Servers that accept work. While no control host answers, the last known ones. */
    public List<Registration> usable(long now) {
        return union(now).usable();
    }

    private List<Registration> usable(List<ControlHostView> current, long now) {
        List<Registration> usable = new ArrayList<>();
        for (Registration each : servers.values()) {
            if (each.state().acceptsWork() && (current.isEmpty() || isAlive(each.id(), current, now))) {
                usable.add(each);
            }
        }
        return usable;
    }

    /**
     * Whether one control host receives the server's heartbeats, or one restored it after a restart and none reports it
     * expired.
     */
    private static boolean isAlive(BackendServerId id, List<ControlHostView> current, long now) {
        boolean restored = false;
        boolean expired = false;
        for (ControlHostView each : current) {
            if (each.isAlive(id, now)) {
                return true;
            }
            restored |= each.restored.contains(id);
            expired |= each.expired.contains(id);
        }
        return restored && !expired;
    }

    /** Whether a server has registered at an address, or under an id, that started later than one there before. */
    public boolean hasLaterStart(BackendServerId id, long bornMillis, Address address) {
        return servers.values().stream()
                .anyMatch(each -> each.bornMillis() > bornMillis
                        && (each.id().equals(id) || each.address().equals(address)));
    }

    /** Whether this start of a server has announced that it leaves. */
    public boolean hasLeft(BackendServerId id, long bornMillis) {
        Registration known = servers.get(id);
        return known != null
                && known.bornMillis() == bornMillis
                && !known.state().acceptsWork();
    }

    /** Whether a server that has not announced its end has expired at control hosts, and lives at none. */
    public boolean isExpired(BackendServerId id, long now) {
        Registration known = servers.get(id);
        List<ControlHostView> current = currentViews(now);
        return known != null
                && known.state().acceptsWork()
                && !isAlive(id, current, now)
                && current.stream().anyMatch(each -> each.expired.contains(id));
    }

    /** A server's latest registration, null when it is not known. */
    public Registration server(BackendServerId id) {
        return servers.get(id);
    }

    /** When the servers stop being cold, by the newest reports of all control hosts. */
    public ColdEnds coldEnds() {
        return coldEnds;
    }

    /** Live entries, one for each host. While no control host answers, the last known ones. */
    public Collection<EntryRecord> entries(long now) {
        return union(now).entries();
    }

    private List<EntryRecord> entries(List<ControlHostView> current) {
        Map<HostId, EntryRecord> newest = new HashMap<>();
        for (ControlHostView each : current.isEmpty() ? controlHostViews.values() : current) {
            for (EntryRecord entry : each.entries.values()) {
                newest.merge(entry.host(), entry, RegistryView::later);
            }
        }
        return List.copyOf(newest.values());
    }

    private static EntryRecord later(EntryRecord a, EntryRecord b) {
        if (a.incarnation() != b.incarnation()) {
            return a.incarnation() > b.incarnation() ? a : b;
        }
        return a.serving() ? b : a;
    }

    /**
     * Whether the list of entries is complete: a control host has been up long enough to receive polls of all entries,
     * or no control host answers and the last known list is used.
     */
    public boolean isEntryListComplete(long now) {
        List<ControlHostView> current = currentViews(now);
        return current.isEmpty() || current.stream().anyMatch(each -> now - each.upSinceNanos >= entryWarmUpNanos);
    }

    /** Number of control hosts whose latest answer is still valid. */
    public int answeringControlHosts(long now) {
        return currentViews(now).size();
    }

    /**
     * Whether a majority of the control hosts has answered within this time, and for as long none of them had its
     * routing table confirmed by a leader. Without a majority this entry is cut off, or most control hosts are down.
     *
     * @param controlHosts number of all control hosts
     */
    public boolean isUnconfirmedFor(long nanos, int controlHosts, long now) {
        List<ControlHostView> recent = controlHostViews.values().stream()
                .filter(each -> now - each.lastAnswerNanos < nanos)
                .toList();
        return 2 * recent.size() > controlHosts
                && recent.stream().allMatch(each -> now - each.confirmedAtNanos() >= nanos);
    }

    /** Whether a control host answers whose routing table is confirmed by a leader. */
    public boolean isConfirmed(long now) {
        return currentViews(now).stream().anyMatch(each -> !each.unconfirmed);
    }

    private List<ControlHostView> currentViews(long now) {
        List<ControlHostView> current = new ArrayList<>();
        for (ControlHostView each : controlHostViews.values()) {
            if (now - each.lastAnswerNanos < answerValidityNanos) {
                current.add(each);
            }
        }
        return current;
    }

    /** Removes the state of a host that is no longer a control host. */
    public void removeControlHost(Address address) {
        controlHostViews.remove(address);
        union = null;
    }
}
