package org.elmline.daemon.gateway;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DutyCycleLimiterTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Guards against a dispatcher that answers nothing because it scans its queue at each call and report of a burst.
     */
    @Test
    void continuousWorkStaysWithinItsShare() {
        DutyCycleLimiter limiter = new DutyCycleLimiter(0.2, 1_000 * NANOS_PER_MILLI);
        Random random = new Random(5);
        long workedNanos = 0;
        long nowNanos = 0;
        while (nowNanos < 10_000 * NANOS_PER_MILLI) {
            if (limiter.mayRun(nowNanos)) {
                long durationNanos = random.nextInt((int) (20 * NANOS_PER_MILLI));
                limiter.recordRun(nowNanos, nowNanos + durationNanos);
                workedNanos += durationNanos;
                nowNanos += durationNanos;
            }
            nowNanos += NANOS_PER_MILLI / 10;
        }
        assertTrue(workedNanos <= 0.21 * nowNanos, workedNanos + " of " + nowNanos);
    }

    /** Guards against calls that wait for seconds because the process was suspended during a pass. */
    @Test
    void limitsPauseAfterLongRun() {
        DutyCycleLimiter limiter = new DutyCycleLimiter(0.2, 40 * NANOS_PER_MILLI);
        limiter.recordRun(0, 4_000 * NANOS_PER_MILLI);
        assertFalse(limiter.mayRun(4_039 * NANOS_PER_MILLI));
        assertTrue(limiter.mayRun(4_040 * NANOS_PER_MILLI));
    }
}
