package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;

/**
 * What an entry still takes while it stops. Callers keep its address for some seconds after it has left the directory, so
 * it goes on to serve them; later it turns away what could not be finished any more.
 */
final class GracefulShutdown {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time that is left to end the process after the last answer. */
    private static final long EXIT_RESERVE_MILLIS = 700;

    /** Longest a plain call and a stream usually take; what could outlast the stop isn't taken any more. */
    private static final long PLAIN_CALL_MILLIS = 1_000;

    private static final long STREAM_CALL_MILLIS = 4_700;

    /**
     * Time after the stop began from which no stream is taken, however much is left: a long one waits for engines, reads
     * and writes for longer than most stops last, and would be cut off.
     */
    private static final long STREAM_ADMISSION_MILLIS = 2_500;

    /** Shortest stop: callers come until their answer of the directory has aged out. */
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

    private long elapsedMillis() {
        return (clock.nanos() - stopStartedNanos) / NANOS_PER_MILLI;
    }

    private long remainingMillis() {
        return drainMillis - EXIT_RESERVE_MILLIS - elapsedMillis();
    }

    /** Whether a new call is taken. */
    boolean admits(boolean streaming) {
        if (!isStopping || ended) {
            return !ended;
        }
        return streaming
                ? elapsedMillis() < STREAM_ADMISSION_MILLIS && remainingMillis() > STREAM_CALL_MILLIS
                : remainingMillis() > PLAIN_CALL_MILLIS;
    }

    /** Whether the process should end now. */
    boolean shouldEnd(int openCalls) {
        return remainingMillis() <= 0
                || (openCalls == 0 && elapsedMillis() >= Math.min(MIN_STOP_MILLIS, drainMillis / 2));
    }

    /**
     * Decides whether the process ends, and takes no call from then on: one that came in the moment between this decision
     * and the end of the process was sent to a server, and cut without an answer.
     */
    boolean tryEnd(int openCalls) {
        ended |= shouldEnd(openCalls);
        return ended;
    }
}
