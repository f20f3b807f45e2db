package org.elmline.core.common;

import java.time.Duration;

/**
 * A clock that advances only by {@link #advance}. Tests and the policy bench use it to drive decisions step by step.
 * Not thread-safe.
 */
public final class ManualClock implements MonotonicClock {
    private long nanos;

    @Override
    public long nanos() {
        return nanos;
    }

    public void advance(Duration by) {
        if (by.isNegative()) {
            throw new IllegalArgumentException("a monotonic clock does not step back: " + by);
        }
        nanos += by.toNanos();
    }
}
