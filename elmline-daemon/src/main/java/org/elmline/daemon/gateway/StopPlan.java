package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;

/**
 * What an entry still takes while it stops. Callers keep its address for some seconds after it has left the directory, so
 * it goes on to serve them; later it turns away what could not be finished any more.
 */
final class StopPlan {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time that is left to end the process after the last answer. */
    private static final long RESERVE_MILLIS = 700;

    /** Longest a plain call and a stream usually take; what could outlast the stop isn't taken any more. */
    private static final long PLAIN_MILLIS = 1_000;

    private static final long STREAM_MILLIS = 4_700;

    /**
     * Time after the stop began from which no stream is taken, however much is left: a long one waits for engines, reads
     * and writes for longer than most stops last, and would be cut off.
     */
    private static final long TAKES_STREAMS_MILLIS = 2_500;

    /** Shortest stop: callers come until their answer of the directory has aged out. */
    private static final long LEAST_MILLIS = 4_500;

    private final MonotonicClock clock;
    private final long drainMillis;
    private volatile long stoppedAt;
    private volatile boolean stopping;
    private volatile boolean over;

    StopPlan(MonotonicClock clock, long drainMillis) {
        this.clock = clock;
        this.drainMillis = drainMillis;
    }

    void begin() {
        stoppedAt = clock.nanos();
        stopping = true;
    }

    boolean stopping() {
        return stopping;
    }

    private long ageMillis() {
        return (clock.nanos() - stoppedAt) / NANOS_PER_MILLI;
    }

    private long leftMillis() {
        return drainMillis - RESERVE_MILLIS - ageMillis();
    }

    /** Whether a new call is taken. */
    boolean takes(boolean streaming) {
        if (!stopping || over) {
            return !over;
        }
        return streaming
                ? ageMillis() < TAKES_STREAMS_MILLIS && leftMillis() > STREAM_MILLIS
                : leftMillis() > PLAIN_MILLIS;
    }

    /** Whether the process should end now. */
    boolean ends(int openCalls) {
        return leftMillis() <= 0 || (openCalls == 0 && ageMillis() >= Math.min(LEAST_MILLIS, drainMillis / 2));
    }

    /**
     * Decides whether the process ends, and takes no call from then on: one that came in the moment between this decision
     * and the end of the process was sent to a server, and cut without an answer.
     */
    boolean end(int openCalls) {
        over |= ends(openCalls);
        return over;
    }
}
