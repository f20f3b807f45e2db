package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;

/**
 * When a call came and by when it must be answered.
 *
 * @param receivedAtNanos when the head of its request was read
 * @param deadlineAtNanos when its caller's deadline or its route's timeout is reached, whichever is first
 */
record CallTimes(MonotonicClock clock, long receivedAtNanos, long deadlineAtNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** @param deadlineMillis time that the caller allows, negative without a limit */
    static CallTimes of(MonotonicClock clock, long receivedAtNanos, long deadlineMillis, long timeoutMillis) {
        long allowedMillis = deadlineMillis < 0 ? timeoutMillis : Math.min(deadlineMillis, timeoutMillis);
        return new CallTimes(clock, receivedAtNanos, receivedAtNanos + allowedMillis * NANOS_PER_MILLI);
    }

    long remainingMillis() {
        return (deadlineAtNanos - clock.nanos()) / NANOS_PER_MILLI;
    }

    long elapsedMillis() {
        return (clock.nanos() - receivedAtNanos) / NANOS_PER_MILLI;
    }

    /** Time from the request to a moment in milliseconds of the clock. */
    long elapsedMillisAt(long millis) {
        return millis - receivedAtNanos / NANOS_PER_MILLI;
    }
}
