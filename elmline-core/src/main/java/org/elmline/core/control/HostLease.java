package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * An entry's own lease, which it must hold to admit anything. The lease counts from the moment the entry asked, so the
 * leader, which counts from when the request arrived, always takes it to last longer than the entry does.
 *
 * <p>A process that was frozen wakes with its lease long over and the world changed: its host replaced, tickets in
 * force that it never saw. It must call {@link #isValid} with a clock read after it woke, on every admission and again
 * right before every claimed call, and then acts only on a lease that is still good. The clock must be monotonic and
 * run on while the process is stopped, as Linux's CLOCK_MONOTONIC does.
 *
 * <p>Take in a grant's configuration before {@link #recordGrant}, so that no request is admitted under an older one.
 */
public final class HostLease {
    private long untilNanos;
    private boolean held;
    private boolean replaced;

    /**
     * Takes a grant.
     *
     * @param askedNanos this process's clock when it sent the request that was granted
     */
    public synchronized void recordGrant(long askedNanos, long leaseMillis) {
        long until = askedNanos + TimeUnit.MILLISECONDS.toNanos(leaseMillis);
        untilNanos = held && untilNanos - until > 0 ? untilNanos : until;
        held = true;
    }

    /** A later start of this host holds the lease. Final: this process never serves again. */
    public synchronized void replaced() {
        replaced = true;
    }

    /** Whether this process may admit work or send a claimed call now. */
    public boolean isValid(long nowNanos) {
        return remainingNanos(nowNanos) > 0;
    }

    /** Nanoseconds left; 0 when there is no lease. */
    public synchronized long remainingNanos(long nowNanos) {
        return held && !replaced ? Math.max(0, untilNanos - nowNanos) : 0;
    }
}
