package org.elmline.core.registry;

import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.BackendServerId;

/**
 * The moments at which backend servers stop being cold, as far as reported to this host. Hosts send each other only
 * durations, so a clock that jumps on one of them has no effect on the others. Times named {@code now} are monotonic,
 * in nanoseconds. Not safe for concurrent use.
 */
public final class ColdEnds {
    /**
     * Shift of a cold end up to which a report confirms the known one. Heartbeats count down with the jitter of their
     * transport, and propagating each shift would send every heartbeat to every follower.
     */
    private static final long MAX_CONFIRMED_SHIFT_NANOS = 300_000_000L;

    /** Time for which a server counts as cold that a control host only remembers; its next heartbeat ends it. */
    private static final long REMEMBERED_COLD_NANOS = 3_600_000_000_000L;

    /** Longest time that a report may state, so that a senseless value keeps no server cold forever. */
    private static final long MAX_MILLIS = 3_600_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<BackendServerId, ColdEnd> ends = new HashMap<>();

    /**
     * What is known of one start of a server.
     *
     * @param remembered whether no heartbeat of the server is known since the control host was started
     * @param stated whether {@code atNanos} is the cold end; otherwise it is when the start was first registered
     */
    private record ColdEnd(long bornMillis, long sequence, boolean remembered, boolean stated, long atNanos) {
        boolean isCold(long now) {
            return remembered || !stated || now - atNanos < 0;
        }

        ColdEnd withSequence(long next) {
            return new ColdEnd(bornMillis, next, remembered, stated, atNanos);
        }
    }

    /**
     * Records the report of a registration that another host sent. One without a report comes from an earlier release
     * and says nothing: as a report that the server is warm it would hide the one of a host that read the heartbeat.
     *
     * @param remembered whether the sender only remembers the server
     * @return whether the cold end changed by more than the passing of time
     */
    public boolean record(Registration registration, boolean remembered, long now) {
        return registration.cold() != null && record(registration, registration.cold(), remembered, now);
    }

    /** Records the report of a heartbeat. One that states no time leaves the cold end of a known start as it is. */
    public boolean recordHeartbeat(Registration registration, long now) {
        return record(
                registration, registration.cold() == null ? ColdReport.UNSTATED : registration.cold(), false, now);
    }

    private boolean record(Registration registration, ColdReport report, boolean remembered, long now) {
        ColdEnd known = ends.get(registration.id());
        ColdEnd next = coldEnd(registration, report, remembered, now);
        boolean firstOfStart = known == null || next.bornMillis() > known.bornMillis();
        boolean sameStart = known != null && next.bornMillis() == known.bornMillis();
        if (firstOfStart || (sameStart && known.remembered() && !remembered)) {
            ends.put(registration.id(), next);
            return next.isCold(now) || (known != null && known.isCold(now));
        }
        if (!sameStart || remembered || next.sequence() <= known.sequence()) {
            return false;
        }
        boolean changed = isChange(known, next, now);
        ends.put(registration.id(), changed ? next : known.withSequence(next.sequence()));
        return changed;
    }

    private static ColdEnd coldEnd(Registration registration, ColdReport report, boolean remembered, long now) {
        long nanos = Math.min(MAX_MILLIS, report.millis()) * NANOS_PER_MILLI;
        long atNanos = report.stated() ? now + nanos : now - nanos;
        return new ColdEnd(registration.bornMillis(), registration.sequence(), remembered, report.stated(), atNanos);
    }

    private static boolean isChange(ColdEnd known, ColdEnd next, long now) {
        if (known.stated() != next.stated()) {
            // A server that has stated a time is not counted by the time of its service again.
            return next.stated();
        }
        if (!next.stated()) {
            return false;
        }
        boolean movesLater = next.isCold(now) && next.atNanos() - known.atNanos() > MAX_CONFIRMED_SHIFT_NANOS;
        return movesLater || (!next.isCold(now) && known.isCold(now));
    }

    /** The report to send of a start of a server now; null when nothing of that start is known. */
    public ColdReport report(Registration registration, long now) {
        ColdEnd known = ends.get(registration.id());
        if (known == null || known.bornMillis() != registration.bornMillis()) {
            return null;
        }
        if (known.remembered()) {
            return ColdReport.UNSTATED;
        }
        // Rounded up, so that no receiver counts the server as warm earlier than this host does.
        long nanos = known.stated() ? known.atNanos() - now + NANOS_PER_MILLI - 1 : now - known.atNanos();
        return new ColdReport(known.stated(), Math.max(0, nanos / NANOS_PER_MILLI));
    }

    /**
     * When a start of a server stops being cold; a moment that has passed for a warm one. One that is only remembered
     * counts as cold until a heartbeat of it is received, as it may have restarted meanwhile.
     *
     * @param coldStartMillis for how long the servers of its service are cold after a start
     */
    public long endNanos(Registration registration, long coldStartMillis, long now) {
        ColdEnd known = ends.get(registration.id());
        if (known == null || known.bornMillis() != registration.bornMillis()) {
            return now;
        }
        if (known.remembered()) {
            return now + REMEMBERED_COLD_NANOS;
        }
        return known.stated() ? known.atNanos() : known.atNanos() + coldStartMillis * NANOS_PER_MILLI;
    }

    /** Removes what is known of a server. */
    public void remove(BackendServerId server) {
        ends.remove(server);
    }
}
