package org.elmline.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/**
 * The backend servers that one entry must not send new requests to, as their answers to it state: servers that leave,
 * and servers that requested a backoff. A backoff applies only to the entry that got the answer, so each entry keeps its
 * own restrictions and checks them whenever it sends, whoever decided on the server. Not safe for concurrent use.
 */
public final class SendRestrictions {
    /** Most servers kept; beyond it, the least recently restricted one is evicted. */
    private static final int MAX_SERVERS = 1_024;

    /** Longest backoff that is honoured. */
    private static final long MAX_BACKOFF_MILLIS = Duration.ofHours(1).toMillis();

    /** Requests that running work may still send to a server during one backoff. */
    private static final int MAX_ESSENTIAL_REQUESTS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<BackendServerId, Restriction> restrictions = new LinkedHashMap<>();

    private static final class Restriction {
        private final long bornMillis;
        private boolean leaving;
        private boolean backingOff;
        private long backoffUntilNanos;
        private int essentialRequests;

        Restriction(long bornMillis) {
            this.bornMillis = bornMillis;
        }

        boolean isBackingOff(long now) {
            return backingOff && now - backoffUntilNanos < 0;
        }

        boolean isInForce(long now) {
            return leaving || isBackingOff(now);
        }

        /** Extends the backoff. Returns whether it ends later than before. */
        boolean extendBackoff(long untilNanos, long now) {
            boolean continues = isBackingOff(now);
            if (continues && untilNanos - backoffUntilNanos <= 0) {
                return false;
            }
            essentialRequests = continues ? essentialRequests : 0;
            backingOff = true;
            backoffUntilNanos = untilNanos;
            return true;
        }
    }

    /**
     * Records the notice in an answer.
     *
     * @param bornMillis start of the server that the answered request was sent to; a later start is not restricted by it
     * @param now monotonic time in nanoseconds
     * @return whether the server is restricted more than before
     */
    public boolean update(BackendServerId server, long bornMillis, ServerNotice notice, long now) {
        if (!notice.leaving() && notice.backoffMillis() <= 0) {
            return false;
        }
        Restriction known = restrictions.remove(server);
        if (known != null && known.bornMillis > bornMillis) {
            restrictions.put(server, known);
            return false;
        }
        Restriction next = known != null && known.bornMillis == bornMillis ? known : new Restriction(bornMillis);
        boolean changed = notice.leaving() && !next.leaving;
        next.leaving |= notice.leaving();
        if (notice.backoffMillis() > 0) {
            long millis = Math.min(notice.backoffMillis(), MAX_BACKOFF_MILLIS);
            changed |= next.extendBackoff(now + millis * NANOS_PER_MILLI, now);
        }
        evict(now);
        restrictions.put(server, next);
        return changed;
    }

    private void evict(long now) {
        if (restrictions.size() < MAX_SERVERS) {
            return;
        }
        restrictions.values().removeIf(each -> !each.isInForce(now));
        if (restrictions.size() >= MAX_SERVERS) {
            restrictions.remove(restrictions.keySet().iterator().next());
        }
    }

    /** Whether this start of a server may be sent new requests now. */
    public boolean allows(BackendServerId server, long bornMillis, long now) {
        Restriction known = find(server, bornMillis);
        return known == null || !known.isInForce(now);
    }

    /**
     * Whether work that already runs on a server may send it a request now, such as the renewal of a memory reservation,
     * and counts that request. A server that leaves still gets them; one in backoff gets a few.
     */
    public boolean tryEssential(BackendServerId server, long bornMillis, long now) {
        Restriction known = find(server, bornMillis);
        if (known == null || !known.isBackingOff(now)) {
            return true;
        }
        known.essentialRequests++;
        return known.essentialRequests <= MAX_ESSENTIAL_REQUESTS;
    }

    /** Milliseconds until the backoff of a server ends, rounded up; 0 without one. */
    public long backoffMillis(BackendServerId server, long bornMillis, long now) {
        Restriction known = find(server, bornMillis);
        return known == null || !known.isBackingOff(now)
                ? 0
                : (known.backoffUntilNanos - now + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    }

    private Restriction find(BackendServerId server, long bornMillis) {
        Restriction known = restrictions.get(server);
        return known == null || known.bornMillis < bornMillis ? null : known;
    }

    /** The servers with a restriction in force, for the start that it was recorded for. */
    public List<BackendServerId> restricted(long now) {
        List<BackendServerId> restricted = new ArrayList<>();
        restrictions.forEach((server, each) -> {
            if (each.isInForce(now)) {
                restricted.add(server);
            }
        });
        return restricted;
    }
}
