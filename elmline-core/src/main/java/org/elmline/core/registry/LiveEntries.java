package org.elmline.core.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.HostId;

/**
 * The entries that poll a control host. One that has not polled for a while is left out: callers would only find out by a
 * timeout. Not safe for concurrent use.
 */
public final class LiveEntries {
    private final long aliveNanos;
    private final Map<HostId, Seen> entries = new HashMap<>();
    private long changes;

    private record Seen(EntryRecord entry, long atNanos) {}

    /** @param aliveNanos time after a poll for which an entry counts as alive */
    public LiveEntries(long aliveNanos) {
        this.aliveNanos = aliveNanos;
    }

    /** Takes an entry's poll. Returns whether the list of entries has changed by it. */
    public boolean seen(EntryRecord entry, long now) {
        Seen before = entries.put(entry.host(), new Seen(entry, now));
        boolean news = before == null || !before.entry().equals(entry);
        if (news) {
            changes++;
        }
        return news;
    }

    /** Lets time pass. Returns whether an entry has fallen out. */
    public boolean expire(long now) {
        boolean gone = entries.values().removeIf(each -> now - each.atNanos() >= aliveNanos);
        if (gone) {
            changes++;
        }
        return gone;
    }

    /** Number of the newest change of the list. */
    public long changes() {
        return changes;
    }

    /** All entries that are alive, those that stop included. */
    public List<EntryRecord> all() {
        return entries.values().stream().map(Seen::entry).toList();
    }
}
