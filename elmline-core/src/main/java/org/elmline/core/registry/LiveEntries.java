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
    private static final int GONE_KEPT = 64;

    private final Map<HostId, Seen> entries = new HashMap<>();
    private final Map<HostId, Gone> gone = new HashMap<>();
    private long changes;
    private long wholeBefore;

    private record Seen(EntryRecord entry, long until, long changedAt) {}

    private record Gone(EntryRecord entry, long changedAt) {}

    /**
     * Takes an entry's poll. Returns whether the list of entries has changed by it.
     *
     * @param until when it counts as gone unless it polls again
     */
    public boolean seen(EntryRecord entry, long until) {
        Seen before = entries.get(entry.host());
        boolean news = before == null || !before.entry().equals(entry);
        if (news) {
            changes++;
            gone.remove(entry.host());
        }
        entries.put(entry.host(), new Seen(entry, until, news ? changes : before.changedAt()));
        return news;
    }

    /** Lets time pass. Returns whether an entry has fallen out. */
    public boolean expire(long now) {
        boolean any = false;
        Iterator<Seen> each = entries.values().iterator();
        while (each.hasNext()) {
            Seen seen = each.next();
            if (now - seen.until() >= 0) {
                each.remove();
                gone.put(seen.entry().host(), new Gone(seen.entry(), ++changes));
                any = true;
            }
        }
        if (gone.size() > entries.size() + GONE_KEPT) {
            gone.clear();
            wholeBefore = changes;
        }
        return any;
    }

    /** Number of the newest change of the list. */
    public long changes() {
        return changes;
    }

    /** All entries that are alive, those that stop included. */
    public List<EntryRecord> all() {
        return entries.values().stream().map(Seen::entry).toList();
    }

    /** Whether what has changed after a number can still be told; if not, only the whole list will do. */
    public boolean tells(long number) {
        return number >= wholeBefore && number <= changes;
    }

    /** What has changed after a number, in no order. */
    public List<EntryNews> since(long number) {
        List<EntryNews> news = new ArrayList<>();
        for (Seen each : entries.values()) {
            if (each.changedAt() > number) {
                news.add(new EntryNews(each.entry(), false));
            }
        }
        for (Gone each : gone.values()) {
            if (each.changedAt() > number) {
                news.add(new EntryNews(each.entry(), true));
            }
        }
        return news;
    }
}
