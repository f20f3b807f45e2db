package org.elmline.core.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;

/**
 * The backend servers that announced themselves to this owner. Each has a lease from its last announcement, in
 * nanoseconds on the monotonic clock. There is no configured list of servers to compare with, so the loss of a server
 * is detected only by the expiry of its lease. Not thread-safe.
 */
public final class ServerTable {
    private static final int MAX_LOST_INCARNATIONS = 1_024;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long leaseNanos;
    private final Map<BackendServerId, LeasedServer> leasedServers = new HashMap<>();
    private final Map<BackendServerId, Incarnation> lostIncarnations = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<BackendServerId, Incarnation> eldest) {
            return size() > MAX_LOST_INCARNATIONS;
        }
    };
    private AnnounceCounts counts = new AnnounceCounts(0, 0, 0);

    public ServerTable(long leaseMillis) {
        this.leaseNanos = leaseMillis * NANOS_PER_MILLI;
    }

    /** Applies an announcement and returns its outcome. */
    public AnnounceResult announce(Announcement announcement, long now) {
        AnnounceResult result = classify(announcement, leasedServers.get(announcement.id()));
        counts = counts.plus(result);
        if (result.accepted()) {
            lostIncarnations.remove(announcement.id());
            leasedServers.put(announcement.id(), new LeasedServer(announcement, now + leaseNanos));
        }
        return result;
    }

    /** Removes and returns the servers whose lease has expired. */
    public List<Announcement> expire(long now) {
        List<Announcement> lost = new ArrayList<>();
        Iterator<LeasedServer> each = leasedServers.values().iterator();
        while (each.hasNext()) {
            LeasedServer leased = each.next();
            if (now - leased.leaseUntilNanos() >= 0) {
                lost.add(leased.announcement());
                lostIncarnations.put(
                        leased.announcement().id(), leased.announcement().incarnation());
                each.remove();
            }
        }
        return lost;
    }

    public Optional<Announcement> find(BackendServerId id) {
        return Optional.ofNullable(leasedServers.get(id)).map(LeasedServer::announcement);
    }

    public Collection<BackendServerId> ids() {
        return Collections.unmodifiableCollection(leasedServers.keySet());
    }

    /** Servers that have a lease; one whose lease has expired is included until the next {@link #expire}. */
    public List<Announcement> all() {
        return leasedServers.values().stream().map(LeasedServer::announcement).toList();
    }

    /** Servers of one kind, as {@link #all}. */
    public List<Announcement> ofKind(BackendKind kind) {
        return leasedServers.values().stream()
                .map(LeasedServer::announcement)
                .filter(each -> each.kind() == kind)
                .toList();
    }

    public int size() {
        return leasedServers.size();
    }

    public AnnounceCounts counts() {
        return counts;
    }

    private AnnounceResult classify(Announcement next, LeasedServer known) {
        if (!isValid(next)) {
            return AnnounceResult.INVALID;
        }
        if (known == null) {
            Incarnation lost = lostIncarnations.get(next.id());
            boolean isOlder = lost != null && next.incarnation().compareTo(lost) < 0;
            return isOlder ? AnnounceResult.STALE_INCARNATION : AnnounceResult.JOINED;
        }
        int order = next.incarnation().compareTo(known.announcement().incarnation());
        // Without this check, a delayed announcement of an ended incarnation would restore its address and not-leaving
        // state.
        if (order < 0) {
            return AnnounceResult.STALE_INCARNATION;
        }
        if (order > 0) {
            return AnnounceResult.RESTARTED;
        }
        boolean startsLeaving = next.leaving() && !known.announcement().leaving();
        return startsLeaving ? AnnounceResult.LEAVING : AnnounceResult.RENEWED;
    }

    private static boolean isValid(Announcement next) {
        if (next.kind() == BackendKind.ENGINE && next.capacityKvTokens() == 0) {
            return false;
        }
        try {
            next.names().forEach(ModelName::of);
        } catch (IllegalArgumentException e) {
            return false;
        }
        return next.versions().isEmpty()
                || next.versions().size() == next.names().size();
    }

    private record LeasedServer(Announcement announcement, long leaseUntilNanos) {}
}
