package org.elmline.core.timeline;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Gives hybrid logical times that grow with each call and lie after every time merged before, so that an effect in
 * another process is stamped after its cause although the wall clocks differ. Safe for use by many threads; takes no
 * lock.
 *
 * <p>Source: "In-depth Analysis on HLC-based Distributed Transaction Processing", sections 1.5 (the update rules) and 2.4
 * (a bound on the offset).
 */
public final class HybridClock {
    /** Twenty times the largest skew expected between hosts, in milliseconds. */
    public static final long DEFAULT_MAX_AHEAD_MILLIS = 1_000;

    private final WallClock wallClock;
    private final long maxAheadMillis;
    private final AtomicLong last = new AtomicLong();
    private final AtomicLong rejectedCount = new AtomicLong();

    public HybridClock(WallClock wallClock) {
        this(wallClock, DEFAULT_MAX_AHEAD_MILLIS);
    }

    /** @param maxAheadMillis how far ahead of the wall clock a remote time may be to be taken over, in milliseconds */
    public HybridClock(WallClock wallClock, long maxAheadMillis) {
        this.wallClock = wallClock;
        this.maxAheadMillis = maxAheadMillis;
    }

    /** A time for an event in this process, or for a message it sends. */
    public HybridTime now() {
        return advancePast(0);
    }

    /**
     * Takes over the time that a message carries; call it before the message is handled.
     *
     * <p>A time more than the bound ahead of the wall clock is not taken over and is counted: one host whose clock is
     * set to next year would otherwise pull every process's stamps there for good, and the time line would no longer
     * tell when anything happened. The order over that message is then as good as the wall clocks.
     *
     * @return how far ahead the remote time was when it was refused, in milliseconds; 0 when it was taken over
     */
    public long merge(HybridTime remote) {
        long ahead = remote.millis() - wallClock.millis();
        if (ahead > maxAheadMillis) {
            rejectedCount.incrementAndGet();
            return ahead;
        }
        advancePast(remote.value());
        return 0;
    }

    /** Remote times that were not taken over. */
    public long rejectedCount() {
        return rejectedCount.get();
    }

    private HybridTime advancePast(long remote) {
        long wall = wallClock.millis() << HybridTime.COUNTER_BITS;
        while (true) {
            long previous = last.get();
            long next = Math.max(wall, Math.max(previous, remote) + 1);
            if (last.compareAndSet(previous, next)) {
                return new HybridTime(next);
            }
        }
    }
}
