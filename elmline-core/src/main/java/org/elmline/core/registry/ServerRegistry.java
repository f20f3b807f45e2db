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
    private final long silentNanos;
    private final long confirmNanos;
    private final long forgetNanos;
    private final Map<BackendServerId, Entry> entries = new HashMap<>();
    private final Map<Address, BackendServerId> byAddress = new HashMap<>();
    private long changes;

    private static final class Entry {
        private Registration registration;
        private long heardNanos;
        private long heardHereNanos;
        private boolean heardHere;
        private boolean silent;
        private boolean remembered;
        private long changedAt;
    }

    /**
     * @param silentNanos time without a heartbeat after which a server counts as silent
     * @param confirmNanos time without a heartbeat after which a server that is only remembered counts as silent
     * @param forgetNanos time without a heartbeat after which it is forgotten; must outlast any delayed heartbeat, which
     *     would otherwise bring a server back that has left
     */
    public ServerRegistry(long silentNanos, long confirmNanos, long forgetNanos) {
        this.silentNanos = silentNanos;
        this.confirmNanos = confirmNanos;
        this.forgetNanos = forgetNanos;
    }

    /** Takes a heartbeat that reached this host. Returns whether it is news that must be told. */
    public boolean heartbeat(Registration registration, long now) {
        boolean news = merge(registration, now);
        Entry entry = entries.get(registration.id());
        if (entry != null && entry.registration.bornMillis() == registration.bornMillis()) {
            entry.heardHere = true;
            entry.heardHereNanos = now;
            news |= heard(entry, now);
        }
        return news;
    }

    /**
     * Takes a server that was heard before this host's restart. After a loss of all control hosts servers are heard again
     * only one by one, within a heartbeat; known by the first few alone, they would get all the work.
     */
    public void remember(Registration registration, long now) {
        if (!entries.containsKey(registration.id())) {
            merge(new ServerNews(registration, false, true), now);
        }
    }

    /** Takes what another host has told. Returns whether it is news that must be told on. */
    public boolean merge(ServerNews news, long now) {
        boolean unknown = !entries.containsKey(news.registration().id());
        boolean told = merge(news.registration(), now);
        if (unknown && told) {
            entries.get(news.registration().id()).remembered = news.remembered();
        }
        return told;
    }

    /** Takes the time at which another host heard a server. Returns whether it is news. */
    public boolean merge(Heard heard, long heardAtNanos) {
        Entry entry = entries.get(heard.id());
        boolean known = entry != null && entry.registration.bornMillis() == heard.bornMillis();
        return known && heard(entry, heardAtNanos);
    }

    /** The server leaves. Returns whether that is news; unknown servers are no news. */
    public boolean leave(BackendServerId id, long now) {
        Entry entry = entries.get(id);
        return entry != null && merge(entry.registration.in(ServerState.GONE), now);
    }

    private boolean merge(Registration next, long now) {
        Entry entry = entries.get(next.id());
        if (entry != null && !next.replaces(entry.registration)) {
            return false;
        }
        if (next.state() != ServerState.GONE && addressTaken(next)) {
            return false;
        }
        boolean news = entry == null || next.differs(entry.registration);
        if (entry == null) {
            entry = new Entry();
            entry.heardNanos = now;
            entries.put(next.id(), entry);
        } else if (next.bornMillis() != entry.registration.bornMillis()) {
            entry.heardNanos = now;
            entry.silent = false;
            entry.remembered = false;
            entry.heardHere = false;
        }
        entry.registration = next;
        if (news) {
            entry.changedAt = ++changes;
        }
        return news;
    }

    /**
     * Gives an address to its newest holder. A heartbeat that was held up by a cut may come after its sender died and
     * another server took the address: calls to the old id would reach the wrong server, so the later start wins.
     */
    private boolean addressTaken(Registration next) {
        BackendServerId holder = byAddress.get(next.address());
        Entry other = holder == null || holder.equals(next.id()) ? null : entries.get(holder);
        boolean lives = other != null
                && other.registration.state() != ServerState.GONE
                && other.registration.address().equals(next.address());
        if (lives && other.registration.bornMillis() > next.bornMillis()) {
            return true;
        }
        if (lives) {
            other.registration = other.registration.in(ServerState.GONE);
            other.changedAt = ++changes;
        }
        byAddress.put(next.address(), next.id());
        return false;
    }

    private boolean heard(Entry entry, long at) {
        entry.heardNanos = Math.max(entry.heardNanos, at);
        if (!entry.silent && !entry.remembered) {
            return false;
        }
        entry.silent = false;
        entry.remembered = false;
        entry.changedAt = ++changes;
        return true;
    }

    /** Lets time pass. Returns whether a server has fallen silent. */
    public boolean expire(long now) {
        boolean news = false;
        Iterator<Entry> each = entries.values().iterator();
        while (each.hasNext()) {
            Entry entry = each.next();
            long age = now - entry.heardNanos;
            if (age >= forgetNanos) {
                byAddress.remove(entry.registration.address(), entry.registration.id());
                each.remove();
            } else if (age >= (entry.remembered ? confirmNanos : silentNanos) && !entry.silent) {
                entry.silent = true;
                entry.remembered = false;
                entry.changedAt = ++changes;
                news = true;
            }
        }
        return news;
    }

    /** Number of the newest change. */
    public long changes() {
        return changes;
    }

    /** What has changed after a number, in no order. */
    public List<ServerNews> since(long number) {
        List<ServerNews> news = new ArrayList<>();
        for (Entry each : entries.values()) {
            if (each.changedAt > number) {
                news.add(new ServerNews(each.registration, each.silent, each.remembered));
            }
        }
        return news;
    }

    /** The servers that this host itself has heard since a time. */
    public List<Heard> heardSince(long sinceNanos, long now) {
        List<Heard> heard = new ArrayList<>();
        for (Entry each : entries.values()) {
            if (each.heardHere && each.heardHereNanos - sinceNanos >= 0) {
                Registration registration = each.registration;
                heard.add(new Heard(
                        registration.id(),
                        registration.bornMillis(),
                        registration.sequence(),
                        (now - each.heardHereNanos) / 1_000_000));
            }
        }
        return heard;
    }

    /** Those that take work and are not silent. */
    public List<Registration> takingWork() {
        List<Registration> all = new ArrayList<>();
        for (Entry each : entries.values()) {
            if (!each.silent && each.registration.state().takesWork()) {
                all.add(each.registration);
            }
        }
        return all;
    }

    /** All that is known, those that left included. */
    public Collection<Registration> all() {
        return entries.values().stream().map(each -> each.registration).toList();
    }
}
