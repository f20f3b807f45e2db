package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * Length of host leases.
 *
 * @param leaseMillis how long a grant lasts, counted by the entry from when it asked
 * @param graceMillis how much longer the leader takes a lease to last, counted from when it was asked. It covers clocks
 *     that run at different rates; the way from entry to leader is on the safe side already
 */
public record LeaseSettings(long leaseMillis, long graceMillis) {
    public static final LeaseSettings DEFAULT = new LeaseSettings(4_000, 500);

    public LeaseSettings {
        if (leaseMillis < 1 || graceMillis < 0) {
            throw new IllegalArgumentException("leaseMillis must be at least 1, graceMillis at least 0");
        }
    }

    /** Nanoseconds after a request until the leader takes the lease to be over. */
    long leaderLeaseNanos() {
        return TimeUnit.MILLISECONDS.toNanos(leaseMillis + graceMillis);
    }
}
