package org.elmline.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.HostId;

/**
 * Paces the requests to one cold server until it is warm: all of them by the rate that the server takes, if one
 * dispatcher decides on them, otherwise those of each entry that has a share of the server, one a second. Unused
 * requests never accumulate, so no second contains a burst. Times are monotonic, in nanoseconds. Not safe for concurrent
 * use.
 */
final class ColdPacer {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Time from one request of an entry to its next one, and the time over which a server's rate is measured. */
    private static final long SHARE_SPACING_NANOS = 1_000_000_000L;

    private final Map<HostId, Long> nextSendsNanos = new HashMap<>();
    private final double requestsPerSecond;
    private Set<HostId> shareHolders = Set.of();
    private int lostHolders;
    private boolean isShared;
    private long endNanos;
    private long nextSendNanos;
    private long renewalsChargedNanos;

    /**
     * @param requestsPerSecond rate that the server takes from all entries together
     * @param shared whether other dispatchers may decide on requests to the server too
     */
    ColdPacer(double requestsPerSecond, boolean shared, long endNanos, long now) {
        this.requestsPerSecond = requestsPerSecond;
        isShared = shared;
        // Another dispatcher may have sent as much as the server takes just before.
        nextSendNanos = now + (shared ? SHARE_SPACING_NANOS : spacingNanos());
        renewalsChargedNanos = now;
        this.endNanos = endNanos;
    }

    /** Sets when the server stops being cold. */
    void endAt(long nanos) {
        endNanos = nanos;
    }

    /**
     * Sets the entries that have a share of the server.
     *
     * @param lost how many of them this host takes for lost; these may only be cut off and use their shares, so a single
     *     dispatcher leaves these requests to them
     */
    void shareHolders(Set<HostId> entries, int lost) {
        shareHolders = entries;
        lostHolders = lost;
    }

    /** Time between two requests of a single dispatcher, which sends at least one a second. */
    private long spacingNanos() {
        double rate = Math.max(requestsPerSecond - lostHolders, Math.min(1, requestsPerSecond));
        return (long) Math.ceil(NANOS_PER_SECOND / rate);
    }

    /**
     * Sets whether other dispatchers may decide too. A change pauses the requests for a second: the second that spans
     * the change would otherwise contain the requests of both rules.
     */
    void shared(boolean shared, long now) {
        if (shared != isShared) {
            isShared = shared;
            nextSendNanos = Math.max(nextSendNanos, now + SHARE_SPACING_NANOS);
        }
    }

    boolean isCold(long now) {
        return now - endNanos < 0;
    }

    /** Whether a request of this entry may be sent now. */
    boolean canSend(HostId entry, long now) {
        return waitMillis(entry, now) == 0;
    }

    /** Milliseconds until one more request of this entry may be sent; at the latest, the server is warm then. */
    double waitMillis(HostId entry, long now) {
        long leftNanos = Math.max(0, endNanos - now);
        if (isShared && !shareHolders.contains(entry)) {
            return leftNanos / NANOS_PER_MILLI;
        }
        long waitNanos = Math.max(0, nextSendNanos - now);
        Long nextOfEntry = isShared ? nextSendsNanos.get(entry) : null;
        if (nextOfEntry != null) {
            waitNanos = Math.max(waitNanos, nextOfEntry - now);
        }
        return Math.min(leftNanos, waitNanos) / NANOS_PER_MILLI;
    }

    /** Milliseconds until the server is warm. */
    double coldMillis(long now) {
        return Math.max(0, endNanos - now) / NANOS_PER_MILLI;
    }

    /** Requests of all entries that the server takes per millisecond while it is cold. */
    double requestsPerMilli() {
        return isShared
                ? shareHolders.size() * NANOS_PER_MILLI / SHARE_SPACING_NANOS
                : NANOS_PER_MILLI / spacingNanos();
    }

    /** Counts requests of an entry that are sent now. */
    void recordSends(HostId entry, int requests, long now) {
        if (isShared) {
            nextSendsNanos.put(entry, now + SHARE_SPACING_NANOS);
        } else {
            nextSendNanos = Math.max(nextSendNanos, now) + requests * spacingNanos();
        }
    }

    /**
     * Counts the renewals of memory reservations since the last call. They are sent on behalf of running calls without a
     * decision of the dispatcher, so new requests make room for them.
     *
     * @param reservations reservations that are renewed now, each once a second
     */
    void chargeRenewals(int reservations, long now) {
        double seconds = (now - renewalsChargedNanos) / NANOS_PER_SECOND;
        renewalsChargedNanos = now;
        nextSendNanos += (long) (reservations * seconds * spacingNanos());
    }
}
