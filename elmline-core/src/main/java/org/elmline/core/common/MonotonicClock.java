package org.elmline.core.common;

/**
 * Time that never steps back and is independent of the wall clock. All leases, deadlines and timeouts use it, so that a
 * wall clock adjustment can neither extend nor end one.
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Nanoseconds since a fixed but arbitrary start. */
    long nanos();

    /** Milliseconds since a fixed but arbitrary start. */
    default long millis() {
        return nanos() / 1_000_000L;
    }
}
