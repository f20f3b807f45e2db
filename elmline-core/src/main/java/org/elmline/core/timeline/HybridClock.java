package org.elmline.core.timeline;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A hybrid logical clock. Each call returns a time later than all times returned or merged before, so that an effect in
 * another process is stamped after its cause although the wall clocks differ. Safe for use by several threads; takes no
 * lock.
 *
 * <p>Source: "In-depth Analysis on HLC-based Distributed Transaction Processing", sections 1.5 (the update rules) and
 * 2.4 (a bound on the offset).
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

    /** @param maxAheadMillis how far ahead of the wall clock a remote time may be to be merged, in milliseconds */
    public HybridClock(WallClock wallClock, long maxAheadMillis) {
        this.wallClock = wallClock;
        this.maxAheadMillis = maxAheadMillis;
    }

    /** Returns the time for an event in this process or for a message that it sends. */
    public HybridTime now() {
        return advancePast(0);
    }

    /**
     * Merges the time of a received message; must be called before the message is handled.
     *
     * <p>A time that is further ahead of the wall clock than the bound is rejected and counted: a single host whose
     * clock is set to next year would otherwise move the stamps of all processes there permanently, and the time line
     * would no longer show when an event happened. Events before and after a rejected message are ordered only as well
     * as the wall clocks agree.
     *
     * @return how far ahead the remote time was, in milliseconds, when it was rejected; 0 when it was merged
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

    /** Number of remote times that were rejected. */
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
