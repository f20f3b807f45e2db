package org.elmline.bench.timeline;

/**
 * How often an order shows a message's arrival before its sending.
 *
 * @param wallInversions by wall clocks of a microsecond
 * @param hybridInversions by hybrid logical time
 * @param maxAheadMillis furthest that a hybrid time was ahead of its host's wall clock, in milliseconds
 */
public record ClockOrderResult(
        ClockOrderSetup setup, int messages, int wallInversions, int hybridInversions, long maxAheadMillis) {
    public double wallInversionRate() {
        return (double) wallInversions / messages;
    }
}
