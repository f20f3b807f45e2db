package org.elmline.bench.timeline;

/**
 * Number of messages whose receipt was ordered before their sending.
 *
 * @param wallInversions inversions when ordered by wall clocks with microsecond resolution
 * @param hybridInversions inversions when ordered by hybrid logical time
 * @param maxAheadMillis largest lead of a hybrid time over its host's wall clock, in milliseconds
 */
public record ClockOrderResult(
        ClockOrderSetup setup, int messages, int wallInversions, int hybridInversions, long maxAheadMillis) {
    public double wallInversionRate() {
        return (double) wallInversions / messages;
    }
}
