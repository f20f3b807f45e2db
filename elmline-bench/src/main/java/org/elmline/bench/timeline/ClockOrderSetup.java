package org.elmline.bench.timeline;

/**
 * One run of hosts that send each other messages.
 *
 * @param hosts number of hosts
 * @param skewMillis each host's wall clock is off by up to this, either way
 * @param meanLatencyMicros mean one-way latency; each is drawn between half and three halves of it
 * @param meanGapMicros mean time between two sends in the whole deployment
 * @param messages messages sent
 */
public record ClockOrderSetup(
        int hosts, double skewMillis, int meanLatencyMicros, int meanGapMicros, int messages, long seed) {}
