package org.elmline.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Whether a stand-in is cold, as a server is for some seconds after a start: it is slow and takes only some requests a
 * second, and a rate well above that ends it. Thread-safe.
 */
public final class ColdState {
    /** Factor by which a cold stand-in works more slowly. */
    public static final double SLOWDOWN = 3;

    /** Multiple of the rate, and requests in addition to it, from which on a second of requests ends the stand-in. */
    private static final double CRASH_FACTOR = 1.5;

    private static final int CRASH_SLACK = 5;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier clock;
    private final Deque<Long> arrivals = new ArrayDeque<>();
    private double requestsPerSecond;
    private boolean cold;
    private long endNanos;

    /** @param clock monotonic time in nanoseconds */
    public ColdState(LongSupplier clock) {
        this.clock = clock;
    }

    /**
     * Makes the stand-in cold from now on.
     *
     * @param seconds for how long; 0 makes it warm
     * @param perSecond requests a second that it takes meanwhile
     */
    public synchronized void set(double seconds, double perSecond) {
        if (!(seconds >= 0) || !(perSecond >= 0)) {
            throw new IllegalArgumentException("cold for " + seconds + " s with " + perSecond + " requests a second");
        }
        requestsPerSecond = perSecond;
        cold = seconds > 0;
        endNanos = clock.getAsLong() + (long) (seconds * NANOS_PER_SECOND);
        arrivals.clear();
    }

    /** Milliseconds until the stand-in is warm, 0 when it is. */
    public synchronized long leftMillis() {
        long leftNanos = endNanos - clock.getAsLong();
        return cold && leftNanos > 0 ? (leftNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI : 0;
    }

    /** Factor by which work takes longer now. */
    public double slowdown() {
        return leftMillis() > 0 ? SLOWDOWN : 1;
    }

    /** Records the arrival of a request. Returns whether the stand-in survives it. */
    public synchronized boolean accept() {
        if (leftMillis() == 0) {
            return true;
        }
        long now = clock.getAsLong();
        arrivals.addLast(now);
        while (now - arrivals.peekFirst() >= NANOS_PER_SECOND) {
            arrivals.removeFirst();
        }
        return arrivals.size() <= CRASH_FACTOR * requestsPerSecond + CRASH_SLACK;
    }

    /** Answer of a stand-in that is queried for its state. */
    public record Report(long coldLeftMillis) {}
}
