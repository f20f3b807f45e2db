package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.routing.CallRoute;

/**
 * Decides which calls an entry admits while it stops. Callers cache its address for some seconds after it has left the
 * directory, so it goes on serving them; later it rejects calls that could not be finished. Safe for use by many
 * threads, but {@link #tryEnd} must run on the thread that admits calls.
 */
final class GracefulShutdown {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time reserved at the end of a stop, in which all calls have ended, to write their answers and end the process. */
    private static final long END_RESERVE_MILLIS = 700;

    /** The part of it in which answers are not waited for any more. */
    private static final long EXIT_RESERVE_MILLIS = 200;

    /** Longest usual duration of a plain call and of a stream; a call that could outlast the stop is not admitted. */
    private static final long PLAIN_CALL_MILLIS = 1_000;

    private static final long STREAM_CALL_MILLIS = 4_700;

    /** Usual duration of a stream after its first event. */
    private static final long STREAM_EVENTS_MILLIS = 2_000;

    /**
     * Time after the start of the stop from which no stream is admitted, however much time is left: a long one waits
     * for engines, prefill and decode for longer than most stops last, and would be cut off.
     */
    private static final long STREAM_ADMISSION_MILLIS = 2_500;

    /** Shortest stop: callers use the address until their cached answer of the directory expires. */
    private static final long MIN_STOP_MILLIS = 4_500;

    private final MonotonicClock clock;
    private final long drainMillis;
    private volatile long stopStartedNanos;
    private volatile boolean isStopping;
    private volatile boolean ended;

    GracefulShutdown(MonotonicClock clock, long drainMillis) {
        this.clock = clock;
        this.drainMillis = drainMillis;
    }

    void begin() {
        stopStartedNanos = clock.nanos();
        isStopping = true;
    }

    boolean isStopping() {
        return isStopping;
    }

    /** Milliseconds since the start of the stop. */
    long elapsedMillis() {
        return (clock.nanos() - stopStartedNanos) / NANOS_PER_MILLI;
    }

    private long remainingMillis() {
        return drainMillis - END_RESERVE_MILLIS - elapsedMillis();
    }

    /** Whether a call that has no place yet is admitted: one that is can usually be finished within the stop. */
    boolean admits(CallRoute route) {
        return route.isStreaming() ? admitsStream() : admitsPlainCall();
    }

    /** Whether a plain call that has no place yet is admitted. */
    boolean admitsPlainCall() {
        return hasTimeFor(PLAIN_CALL_MILLIS);
    }

    /** Whether a stream is admitted; one that another entry forwards counts as a stream. */
    boolean admitsStream() {
        return hasTimeFor(STREAM_CALL_MILLIS) && (!isStopping || elapsedMillis() < STREAM_ADMISSION_MILLIS);
    }

    /**
     * Whether a call for which there is a place now can be finished.
     *
     * @param firstMillis predicted time to the answer or to the first event of a stream
     */
    boolean canFinish(CallRoute route, long firstMillis) {
        return hasTimeFor(route.isStreaming() ? firstMillis + STREAM_EVENTS_MILLIS : firstMillis);
    }

    private boolean hasTimeFor(long durationMillis) {
        return !ended && (!isStopping || remainingMillis() > durationMillis);
    }

    /** Whether the calls should end now; {@code open} is the number of calls and requests that are not answered. */
    boolean shouldEnd(int open) {
        return remainingMillis() <= 0 || (open == 0 && elapsedMillis() >= Math.min(MIN_STOP_MILLIS, drainMillis / 2));
    }

    /**
     * Decides whether the calls end; once they do, none is admitted. Otherwise a call that came between the decision and
     * the end of the process would be sent to a server and be cut off without an answer.
     */
    boolean tryEnd(int open) {
        ended |= shouldEnd(open);
        return ended;
    }

    /** Time until the process ends although callers have not read all answers; it would be killed otherwise. */
    long millisToExit() {
        return drainMillis - EXIT_RESERVE_MILLIS - elapsedMillis();
    }
}
