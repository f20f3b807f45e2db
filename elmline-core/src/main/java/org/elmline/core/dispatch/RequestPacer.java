package org.elmline.core.dispatch;

/** Requests that one backend server may be sent now, where it names a limit; they add up over a short time only. */
final class RequestPacer {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Time over which requests that were not sent may be made up for; longer, and they would come as a burst. */
    private static final long MAX_CATCH_UP_NANOS = 500_000_000L;

    private long spacingNanos;
    private long nextSendNanos;

    /**
     * Takes the limit in force.
     *
     * @param sharedBy those who send to the server without knowing of each other; each keeps to a part of the limit
     */
    void applyLimit(ServerRateLimit limit, int sharedBy, long now) {
        long next = limit.spacingMicros() * NANOS_PER_MICRO * sharedBy;
        if (spacingNanos == 0 && next > 0) {
            // It may have been sent any number just before.
            nextSendNanos = now + next;
        } else if (next < spacingNanos) {
            nextSendNanos = Math.min(nextSendNanos, now + next);
        }
        spacingNanos = next;
    }

    boolean isLimited() {
        return spacingNanos > 0;
    }

    /** Requests that it takes a millisecond; infinite without a limit. */
    double requestsPerMilli() {
        return NANOS_PER_MILLI / spacingNanos;
    }

    /** Milliseconds until one more may be sent. */
    double waitMillis(long now) {
        return spacingNanos == 0 ? 0 : Math.max(0, (nextSendNanos - now) / NANOS_PER_MILLI);
    }

    /** Whether one more may be sent now. */
    boolean canSend(long now) {
        return waitMillis(now) == 0;
    }

    /** Counts one that is sent. */
    void recordSend(long now) {
        if (spacingNanos > 0) {
            nextSendNanos = Math.max(nextSendNanos, now - MAX_CATCH_UP_NANOS) + spacingNanos;
        }
    }
}
