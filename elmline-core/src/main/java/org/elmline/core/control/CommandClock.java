package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * The wall clock that a leader stamps into its commands. It never steps back, and while one leader leads it runs at
 * most twice as fast as the monotonic clock: a wall clock set wrongly ahead for a moment would otherwise expire every
 * idempotency key at once, and for good, as replicated time can't be taken back.
 *
 * <p>A new leader starts at its own wall clock, however far ahead of the replicated time, since the control hosts may
 * have been down for days. A leader whose clock is ahead when it starts does move the time forward.
 */
public final class CommandClock {
    private static final int MAX_RATE = 2;

    private long lastMillis;
    private long lastNanos;

    /** A clock for a leader that starts now over a state at {@code replicatedMillis}. */
    public CommandClock(long replicatedMillis, long wallMillis, long nowNanos) {
        lastMillis = Math.max(replicatedMillis, wallMillis);
        lastNanos = nowNanos;
    }

    /** Milliseconds since 1970 to stamp into a command. */
    public synchronized long stamp(long wallMillis, long nowNanos) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - lastNanos));
        if (elapsedMillis == 0) {
            return lastMillis;
        }
        long most = lastMillis + MAX_RATE * elapsedMillis;
        lastMillis = Math.max(lastMillis, Math.min(wallMillis, most));
        lastNanos = nowNanos;
        return lastMillis;
    }
}
