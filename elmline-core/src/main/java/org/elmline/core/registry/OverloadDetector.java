package org.elmline.core.registry;

import java.time.Duration;

/**
 * Decides from the delays of a periodic timer whether a process falls behind its work. Not safe for concurrent use.
 */
public final class OverloadDetector {
    /** Interval at which the timer is to run, in milliseconds. */
    public static final long INTERVAL_MILLIS = 500;

    /**
     * Delay that counts as late. A host that has used up its share of a core pauses for up to a tenth of a second, and a
     * short question should reach a server within some tens of milliseconds.
     */
    private static final long LATE_NANOS = Duration.ofMillis(30).toNanos();

    /** Late runs in a row that show an overload; a single one may be a collection of garbage. */
    private static final int LATE_RUNS = 3;

    /**
     * Time without an overload after which it is over. Callers keep an answer of the directory for some seconds, so a
     * shorter time would move them to and fro.
     */
    private static final long RECOVERY_NANOS = Duration.ofSeconds(10).toNanos();

    private int lateRuns;
    private boolean overloaded;
    private long lastOverloadNanos;

    /**
     * Records a run of the timer.
     *
     * @param delayNanos how much later than due it ran
     * @param now monotonic time in nanoseconds
     * @return whether the process became overloaded or recovered
     */
    public boolean record(long delayNanos, long now) {
        lateRuns = delayNanos >= LATE_NANOS ? lateRuns + 1 : 0;
        boolean before = overloaded;
        if (lateRuns >= LATE_RUNS) {
            lastOverloadNanos = now;
            overloaded = true;
        } else if (overloaded && now - lastOverloadNanos >= RECOVERY_NANOS) {
            overloaded = false;
        }
        return overloaded != before;
    }

    public boolean isOverloaded() {
        return overloaded;
    }
}
