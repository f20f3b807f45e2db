package org.elmline.core.common;

import java.time.Duration;

/** The range of ages that hosts report to each other, so that a moment computed from one is never in the future. */
public final class AgeRange {
    /** Longest age in milliseconds; in nanoseconds, half of the range of a monotonic clock. */
    public static final long MAX_MILLIS = Duration.ofNanos(Long.MAX_VALUE / 2).toMillis();

    private AgeRange() {}

    /** Whether an age in milliseconds is in range. */
    public static boolean contains(long millis) {
        return millis >= 0 && millis <= MAX_MILLIS;
    }

    /** The age in range that is nearest to an age in milliseconds. */
    public static long nearest(long millis) {
        return Math.max(0, Math.min(MAX_MILLIS, millis));
    }
}
