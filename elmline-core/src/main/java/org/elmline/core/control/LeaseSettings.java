package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * Length of host leases.
 *
 * @param leaseMillis how long a grant lasts, counted by the entry from when it sent the request
 * @param graceMillis how much longer the leader treats a lease as valid, counted from the request's arrival. It covers
 *     clocks that run at different rates; the transmission delay from entry to leader is on the safe side already
 */
public record LeaseSettings(long leaseMillis, long graceMillis) {
    public static final LeaseSettings DEFAULT = new LeaseSettings(4_000, 500);

    public LeaseSettings {
        if (leaseMillis < 1 || graceMillis < 0) {
            throw new IllegalArgumentException("leaseMillis must be at least 1, graceMillis at least 0");
        }
    }

    /** Nanoseconds after the arrival of a request until the leader treats the lease as expired. */
    long leaderLeaseNanos() {
        return TimeUnit.MILLISECONDS.toNanos(leaseMillis + graceMillis);
    }
}
