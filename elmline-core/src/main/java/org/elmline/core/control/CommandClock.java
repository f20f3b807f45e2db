package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * The wall clock that a leader writes into its commands. It never steps back, and during one leadership it runs at most
 * twice as fast as the monotonic clock: otherwise a wall clock set ahead by mistake for a moment would expire every
 * idempotency key at once, and permanently, since replicated time can't be reverted.
 *
 * <p>A new leader starts at its own wall clock, however far ahead of the replicated time, since the control hosts may
 * have been down for days. A leader whose clock is ahead when it starts does move the time forward. Safe for concurrent
 * use.
 */
public final class CommandClock {
    private static final int MAX_RATE = 2;

    private long lastMillis;
    private long lastNanos;

    /** Creates a clock for a leader that starts now, over a state whose replicated time is {@code replicatedMillis}. */
    public CommandClock(long replicatedMillis, long wallMillis, long nowNanos) {
        lastMillis = Math.max(replicatedMillis, wallMillis);
        lastNanos = nowNanos;
    }

    /** Returns the time to write into a command, in milliseconds since 1970. */
    public synchronized long stamp(long wallMillis, long nowNanos) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - lastNanos));
        if (elapsedMillis == 0) {
            return lastMillis;
        }
        long maxMillis = lastMillis + MAX_RATE * elapsedMillis;
        lastMillis = Math.max(lastMillis, Math.min(wallMillis, maxMillis));
        lastNanos = nowNanos;
        return lastMillis;
    }
}
