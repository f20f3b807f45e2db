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
 * What an entry makes of the news of several control hosts: the union of all they know. A control host that is cut off
 * hears no heartbeats and takes every server for silent, so a server counts as silent only where all control hosts that
 * answer say so; and an entry counts as alive where any of them says so. Not safe for concurrent use.
 */
public final class FleetView {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time for which a union made without news since is used again; every call asks for it several times. */
    private static final long UNION_NANOS = 50 * NANOS_PER_MILLI;

    private long currentNanos;
    private final long relearnNanos;
    private final long settleNanos;
    private final Map<BackendServerId, Registration> servers = new HashMap<>();
    private final Map<Address, Opinion> opinions = new HashMap<>();
    private Union union;
    private Union last;

    /** What all control hosts that answer know together. */
    private record Union(long madeAt, List<Registration> usable, List<EntryRecord> entries) {
        Union orSameOf(Union before) {
            return new Union(
                    madeAt,
                    same(usable, before.usable) ? before.usable : usable,
                    same(entries, before.entries) ? before.entries : entries);
        }

        private static <T> boolean same(List<T> some, List<T> others) {
            if (some.size() != others.size()) {
                return false;
            }
            for (int i = 0; i < some.size(); i++) {
                if (some.get(i) != others.get(i)) {
                    return false;
                }
            }
            return true;
        }
    }

    private static final class Opinion {
        private long answeredAt;
        private long epoch;
        private long relearnedAt;
        private long upSince;
        private final Set<BackendServerId> heard = new HashSet<>();
        private final Set<BackendServerId> silent = new HashSet<>();
        private final Set<BackendServerId> remembered = new HashSet<>();
        private final Set<BackendServerId> heardBefore = new HashSet<>();
        private Map<HostId, EntryRecord> entries = new HashMap<>();

        /** Returns whether anything changed by it. */
        boolean take(ServerNews news) {
            BackendServerId id = news.registration().id();
            boolean hears = !news.silent() && !news.remembered();
            heardBefore.remove(id);
            boolean changed = hears ? heard.add(id) : heard.remove(id);
            changed |= news.silent() ? silent.add(id) : silent.remove(id);
            changed |= news.remembered() ? remembered.add(id) : remembered.remove(id);
            return changed;
        }

        /** Returns whether anything changed by it. */
        boolean takeEntries(FollowAnswer answer) {
            boolean changed = false;
            if (answer.entries() != null) {
                Map<HostId, EntryRecord> before = entries;
                entries = new HashMap<>();
                answer.entries().forEach(each -> entries.put(each.host(), each));
                changed = !entries.equals(before);
            }
            for (EntryNews each : answer.entryNews()) {
                EntryRecord entry = each.entry();
                EntryRecord before = each.gone() ? entries.remove(entry.host()) : entries.put(entry.host(), entry);
                changed |= each.gone() ? before != null : !entry.equals(before);
            }
            return changed;
        }

        boolean hears(BackendServerId id, long now) {
            boolean relearning = now - relearnedAt < 0;
            return heard.contains(id) || (relearning && heardBefore.contains(id));
        }
    }

    /**
     * @param currentNanos time after an answer for which a control host's opinion counts
     * @param relearnNanos time that a restarted control host needs to hear all servers again
     * @param settleNanos time that a restarted control host needs to hear all entries again
     */
    public FleetView(long currentNanos, long relearnNanos, long settleNanos) {
        this.currentNanos = currentNanos;
        this.relearnNanos = relearnNanos;
        this.settleNanos = settleNanos;
    }

    /** Takes another time after an answer for which a control host's opinion counts. */
    public void currentFor(long nanos) {
        currentNanos = nanos;
    }

    /** Takes a control host's answer. Returns whether anything changed by it. */
    public boolean take(Address from, FollowAnswer answer, long now) {
        Opinion opinion = opinions.computeIfAbsent(from, address -> new Opinion());
        boolean changed = false;
        if (opinion.epoch != answer.epoch()) {
            restarted(opinion, answer.epoch(), now);
            changed = true;
        }
        changed |= now - opinion.answeredAt >= currentNanos;
        opinion.answeredAt = now;
        opinion.upSince = now - answer.upMillis() * NANOS_PER_MILLI;
        for (ServerNews each : answer.servers()) {
            changed |= take(each.registration());
            changed |= opinion.take(each);
        }
        changed |= opinion.takeEntries(answer);
        if (changed) {
            union = null;
        }
        return changed;
    }

    /**
     * A restarted control host has heard nobody yet. Were all of them restarted at once, every server would seem silent
     * and all calls would be turned away; so what it had heard before counts until it has had time to hear it again.
     */
    private void restarted(Opinion opinion, long epoch, long now) {
        opinion.heardBefore.addAll(opinion.heard);
        opinion.heard.clear();
        opinion.silent.clear();
        opinion.remembered.clear();
        opinion.epoch = epoch;
        opinion.relearnedAt = now + relearnNanos;
    }

    private boolean take(Registration next) {
        Registration held = servers.get(next.id());
        if (held != null && !next.replaces(held)) {
            return false;
        }
        servers.put(next.id(), next);
        return held == null || next.differs(held);
    }

    private Union union(long now) {
        if (union == null || now - union.madeAt() >= UNION_NANOS) {
            List<Opinion> current = current(now);
            Union next = new Union(now, usable(current, now), entries(current));
            // Lists of the same records stay the same lists, so that what is worked out from them need not be again.
            union = last == null ? next : next.orSameOf(last);
            last = union;
        }
        return union;
    }

    /** Servers that may be sent work. While no control host answers, those last known stay. */
    public List<Registration> usable(long now) {
        return union(now).usable();
    }

    private List<Registration> usable(List<Opinion> current, long now) {
        List<Registration> usable = new ArrayList<>();
        for (Registration each : servers.values()) {
            if (each.state().takesWork() && (current.isEmpty() || lives(each.id(), current, now))) {
                usable.add(each);
            }
        }
        return usable;
    }

    /** Whether one control host hears the server, or one remembers it from before a restart and none misses it. */
    private static boolean lives(BackendServerId id, List<Opinion> current, long now) {
        boolean remembered = false;
        boolean missed = false;
        for (Opinion each : current) {
            if (each.hears(id, now)) {
                return true;
            }
            remembered |= each.remembered.contains(id);
            missed |= each.silent.contains(id);
        }
        return remembered && !missed;
    }

    /** A server's newest registration, null when it is not known. */
    public Registration server(BackendServerId id) {
        return servers.get(id);
    }

    /** Entries that are alive, by host; while no control host answers, those last known. */
    public Collection<EntryRecord> entries(long now) {
        return union(now).entries();
    }

    private List<EntryRecord> entries(List<Opinion> current) {
        Map<HostId, EntryRecord> newest = new HashMap<>();
        for (Opinion each : current.isEmpty() ? opinions.values() : current) {
            for (EntryRecord entry : each.entries.values()) {
                newest.merge(entry.host(), entry, FleetView::later);
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
     * Whether the entries told are all there are: some control host has been up for long enough to hear them all, or none
     * answers and what was known before stands.
     */
    public boolean settled(long now) {
        List<Opinion> current = current(now);
        return current.isEmpty() || current.stream().anyMatch(each -> now - each.upSince >= settleNanos);
    }

    /** How many control hosts have answered lately. */
    public int answering(long now) {
        return current(now).size();
    }

    private List<Opinion> current(long now) {
        List<Opinion> current = new ArrayList<>();
        for (Opinion each : opinions.values()) {
            if (now - each.answeredAt < currentNanos) {
                current.add(each);
            }
        }
        return current;
    }

    /** Drops the opinion of a control host that is one no more. */
    public void dropControl(Address address) {
        opinions.remove(address);
        union = null;
    }
}
