package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * Timing and rate of a leader's orders to engines.
 *
 * @param timeoutMillis longest that sending one order may take
 * @param repeatMillis time after which an order whose effect is not visible in the engine's state is sent again
 * @param maxStateAgeMillis age at which a state read from an engine is no longer used
 * @param loadsPerMinute weight loads that the weight store allows a minute, over all engines
 * @param loadBurst weight loads that may start at once after an idle period
 */
public record OrderSettings(
        long timeoutMillis, long repeatMillis, long maxStateAgeMillis, double loadsPerMinute, double loadBurst) {
    public static final OrderSettings DEFAULT = new OrderSettings(1_000, 3_000, 5_000, 12, 4);

    public OrderSettings {
        if (timeoutMillis < 1 || repeatMillis < timeoutMillis || maxStateAgeMillis < 1) {
            throw new IllegalArgumentException(
                    "timeoutMillis must be at least 1 and at most repeatMillis, maxStateAgeMillis at least 1");
        }
        if (loadsPerMinute <= 0 || loadBurst < 1) {
            throw new IllegalArgumentException("loadsPerMinute must be above 0, loadBurst at least 1");
        }
    }

    long timeoutNanos() {
        return TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    long repeatNanos() {
        return TimeUnit.MILLISECONDS.toNanos(repeatMillis);
    }

    long maxStateAgeNanos() {
        return TimeUnit.MILLISECONDS.toNanos(maxStateAgeMillis);
    }
}
