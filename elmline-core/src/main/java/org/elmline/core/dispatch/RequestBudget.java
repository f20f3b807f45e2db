package org.elmline.core.dispatch;

/** Requests that one backend server may be sent now, where it names a limit; they add up over a short time only. */
final class RequestBudget {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Time over which requests that were not sent may be made up for; longer, and they would come as a burst. */
    private static final long SAVED_NANOS = 500_000_000L;

    private long spacingNanos;
    private long nextAt;

    /**
     * Takes the limit in force.
     *
     * @param sharedBy those who send to the server without knowing of each other; each keeps to a part of the limit
     */
    void limit(ServerLimit limit, int sharedBy, long now) {
        long next = limit.spacingMicros() * NANOS_PER_MICRO * sharedBy;
        if (spacingNanos == 0 && next > 0) {
            // It may have been sent any number just before.
            nextAt = now + next;
        } else if (next < spacingNanos) {
            nextAt = Math.min(nextAt, now + next);
        }
        spacingNanos = next;
    }

    boolean isLimited() {
        return spacingNanos > 0;
    }

    /** Requests that it takes a millisecond; infinite without a limit. */
    double perMilli() {
        return NANOS_PER_MILLI / spacingNanos;
    }

    /** Milliseconds until one more may be sent. */
    double waitMillis(long now) {
        return spacingNanos == 0 ? 0 : Math.max(0, (nextAt - now) / NANOS_PER_MILLI);
    }

    /** Whether one more may be sent now. */
    boolean allows(long now) {
        return waitMillis(now) == 0;
    }

    /** Counts one that is sent. */
    void take(long now) {
        if (spacingNanos > 0) {
            nextAt = Math.max(nextAt, now - SAVED_NANOS) + spacingNanos;
        }
    }
}
