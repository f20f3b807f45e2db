package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.HostId;

/**
 * The entries that poll a control host. One that has not polled for a while is left out: callers would only find out by a
 * timeout. Followers are told what has changed since they asked last, as the whole list at each change is bytes that grow
 * with the square of the number of entries. Not safe for concurrent use.
 */
public final class LiveEntries {
    /** Entries that are gone and still told of, beyond as many as live; a follower that lags further gets the list. */
    private static final int EXPIRED_ENTRIES_MARGIN = 64;

    private final Map<HostId, LiveEntry> entries = new HashMap<>();
    private final Map<HostId, ExpiredEntry> expired = new HashMap<>();
    private long lastChange;
    private long oldestListedChange;

    private record LiveEntry(EntryRecord entry, long expiresAtNanos, long changeNumber) {}

    private record ExpiredEntry(EntryRecord entry, long changeNumber) {}

    /**
     * Takes an entry's poll. Returns whether the list of entries has changed by it.
     *
     * @param until when it counts as gone unless it polls again
     */
    public boolean renew(EntryRecord entry, long until) {
        LiveEntry before = entries.get(entry.host());
        boolean news = before == null || !before.entry().equals(entry);
        if (news) {
            lastChange++;
            expired.remove(entry.host());
        }
        entries.put(entry.host(), new LiveEntry(entry, until, news ? lastChange : before.changeNumber()));
        return news;
    }

    /** Lets time pass. Returns whether an entry has fallen out. */
    public boolean expire(long now) {
        boolean any = false;
        Iterator<LiveEntry> each = entries.values().iterator();
        while (each.hasNext()) {
            LiveEntry seen = each.next();
            if (now - seen.expiresAtNanos() >= 0) {
                each.remove();
                expired.put(seen.entry().host(), new ExpiredEntry(seen.entry(), ++lastChange));
                any = true;
            }
        }
        if (expired.size() > entries.size() + EXPIRED_ENTRIES_MARGIN) {
            expired.clear();
            oldestListedChange = lastChange;
        }
        return any;
    }

    /** Number of the newest change of the list. */
    public long lastChange() {
        return lastChange;
    }

    /** All entries that are alive, those that stop included. */
    public List<EntryRecord> all() {
        return entries.values().stream().map(LiveEntry::entry).toList();
    }

    /** Whether what has changed after a number can still be told; if not, only the whole list will do. */
    public boolean canListChangesSince(long number) {
        return number >= oldestListedChange && number <= lastChange;
    }

    /** What has changed after a number, in no order. */
    public List<EntryUpdate> changesSince(long number) {
        List<EntryUpdate> news = new ArrayList<>();
        for (LiveEntry each : entries.values()) {
            if (each.changeNumber() > number) {
                news.add(new EntryUpdate(each.entry(), false));
            }
        }
        for (ExpiredEntry each : expired.values()) {
            if (each.changeNumber() > number) {
                news.add(new EntryUpdate(each.entry(), true));
            }
        }
        return news;
    }
}
