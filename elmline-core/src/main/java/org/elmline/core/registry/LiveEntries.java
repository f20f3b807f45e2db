package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.HostId;

/**
 * The entries that poll a control host. An entry expires when it stops polling: callers that were still directed to it
 * would only notice by a timeout. Followers receive the changes since their previous poll, because sending the whole
 * list at each change would cost traffic that grows with the square of the number of entries. Times are nanoseconds of
 * a monotonic clock. Not safe for concurrent use.
 */
public final class LiveEntries {
    /**
     * Number of expired entries that are kept for reports of changes, beyond the number of live ones. A follower that
     * lags further behind receives the whole list.
     */
    private static final int EXPIRED_ENTRIES_MARGIN = 64;

    private final Map<HostId, LiveEntry> entries = new HashMap<>();
    private final Map<HostId, ExpiredEntry> expired = new HashMap<>();
    private long lastChange;
    private long lastUnlistedChange;

    private record LiveEntry(EntryRecord entry, long expiresAtNanos, long changeNumber) {}

    private record ExpiredEntry(EntryRecord entry, long changeNumber) {}

    /**
     * Records an entry's poll. Returns whether it changed the list of entries.
     *
     * @param expiresAtNanos when the entry expires unless it polls again
     */
    public boolean renew(EntryRecord entry, long expiresAtNanos) {
        LiveEntry before = entries.get(entry.host());
        boolean changed = before == null || !before.entry().equals(entry);
        if (changed) {
            lastChange++;
            expired.remove(entry.host());
        }
        entries.put(entry.host(), new LiveEntry(entry, expiresAtNanos, changed ? lastChange : before.changeNumber()));
        return changed;
    }

    /** Removes the entries whose time has run out. Returns whether an entry was removed. */
    public boolean expire(long now) {
        boolean changed = false;
        Iterator<LiveEntry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            LiveEntry live = iterator.next();
            if (now - live.expiresAtNanos() >= 0) {
                iterator.remove();
                expired.put(live.entry().host(), new ExpiredEntry(live.entry(), ++lastChange));
                changed = true;
            }
        }
        if (expired.size() > entries.size() + EXPIRED_ENTRIES_MARGIN) {
            expired.clear();
            lastUnlistedChange = lastChange;
        }
        return changed;
    }

    /** Number of the latest change of the list. */
    public long lastChange() {
        return lastChange;
    }

    /** All live entries, including those that are stopping. */
    public List<EntryRecord> all() {
        return entries.values().stream().map(LiveEntry::entry).toList();
    }

    /** Whether all changes after a number can still be listed; if not, a follower needs the whole list. */
    public boolean canListChangesSince(long number) {
        return number >= lastUnlistedChange && number <= lastChange;
    }

    /** Entries that have changed after a number, in no particular order. */
    public List<EntryUpdate> changesSince(long number) {
        List<EntryUpdate> changes = new ArrayList<>();
        for (LiveEntry each : entries.values()) {
            if (each.changeNumber() > number) {
                changes.add(new EntryUpdate(each.entry(), false));
            }
        }
        for (ExpiredEntry each : expired.values()) {
            if (each.changeNumber() > number) {
                changes.add(new EntryUpdate(each.entry(), true));
            }
        }
        return changes;
    }
}
