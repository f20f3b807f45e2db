package org.elmline.core.dispatch;

/**
 * Paces the requests to one backend server that reports a rate limit. Unused requests accumulate over a short time
 * only. Not safe for concurrent use.
 */
final class RequestPacer {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    /** Time for which unused requests accumulate; a longer time would let them arrive as a burst. */
    private static final long MAX_CATCH_UP_NANOS = 500_000_000L;

    private long spacingNanos;
    private long nextSendNanos;

    /**
     * Applies the limit in force.
     *
     * @param senders dispatchers that send to the server without coordination; each keeps to its part of the limit
     */
    void applyLimit(ServerRateLimit limit, int senders, long now) {
        long newSpacingNanos = limit.spacingMicros() * NANOS_PER_MICRO * senders;
        if (spacingNanos == 0 && newSpacingNanos > 0) {
            // Any number of requests may have been sent just before, so the first one waits for a full interval.
            nextSendNanos = now + newSpacingNanos;
        } else if (newSpacingNanos < spacingNanos) {
            nextSendNanos = Math.min(nextSendNanos, now + newSpacingNanos);
        }
        spacingNanos = newSpacingNanos;
    }

    boolean isLimited() {
        return spacingNanos > 0;
    }

    /** Requests allowed per millisecond; infinite without a limit. */
    double requestsPerMilli() {
        return NANOS_PER_MILLI / spacingNanos;
    }

    /** Milliseconds until one more request may be sent. */
    double waitMillis(long now) {
        return spacingNanos == 0 ? 0 : Math.max(0, (nextSendNanos - now) / NANOS_PER_MILLI);
    }

    /** Whether one more request may be sent now. */
    boolean canSend(long now) {
        return waitMillis(now) == 0;
    }

    /** Counts one request. */
    void recordSend(long now) {
        if (spacingNanos > 0) {
            nextSendNanos = Math.max(nextSendNanos, now - MAX_CATCH_UP_NANOS) + spacingNanos;
        }
    }
}
