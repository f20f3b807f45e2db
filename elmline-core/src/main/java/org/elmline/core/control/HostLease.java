package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * An entry's own lease, without which it admits nothing. The lease starts when the entry sent the request, while the
 * leader counts from the request's arrival, so the leader always treats it as lasting longer than the entry does. Safe
 * for concurrent use.
 *
 * <p>A process that was frozen may resume long after its lease has expired: its host may have been replaced, and
 * tickets it never received may be in force. Callers must therefore pass {@link #isValid} a clock read after resuming,
 * on every admission and again right before every claimed call, and act only on a lease that is still valid. The clock
 * must be monotonic and keep running while the process is stopped, as Linux's CLOCK_MONOTONIC does.
 *
 * <p>Apply a grant's configuration before {@link #recordGrant}, so that no request is admitted under an older one.
 */
public final class HostLease {
    private long untilNanos;
    private boolean held;
    private boolean replaced;

    /**
     * Records a grant.
     *
     * @param requestedNanos this process's monotonic clock when it sent the request that was granted
     * @param leaseMillis length of the lease, counted from {@code requestedNanos}
     */
    public synchronized void recordGrant(long requestedNanos, long leaseMillis) {
        long until = requestedNanos + TimeUnit.MILLISECONDS.toNanos(leaseMillis);
        untilNanos = held && untilNanos - until > 0 ? untilNanos : until;
        held = true;
    }

    /** Records that a later incarnation of this host holds the lease. Final: this process never serves again. */
    public synchronized void replaced() {
        replaced = true;
    }

    /** Whether this process may admit work or send a claimed call now. */
    public boolean isValid(long nowNanos) {
        return remainingNanos(nowNanos) > 0;
    }

    /** Nanoseconds left; 0 when no lease is held. */
    public synchronized long remainingNanos(long nowNanos) {
        return held && !replaced ? Math.max(0, untilNanos - nowNanos) : 0;
    }
}
