package org.elmline.core.common;

import java.time.Duration;

/** A clock that moves only when told to; drives decisions step by step in tests and in the policy bench. */
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
