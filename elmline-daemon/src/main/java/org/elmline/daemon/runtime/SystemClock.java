package org.elmline.daemon.runtime;

import org.elmline.core.common.MonotonicClock;

/** The machine's monotonic clock. */
public final class SystemClock implements MonotonicClock {
    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
