package org.elmline.bench.timeline;

/**
 * Setup of one simulated run of hosts that send each other messages.
 *
 * @param hosts number of hosts
 * @param skewMillis maximum skew of a host's wall clock in either direction, in milliseconds
 * @param meanLatencyMicros mean one-way latency; each is drawn between half and three halves of it
 * @param meanGapMicros mean time between two sends in the whole deployment
 * @param messages number of messages sent
 */
public record ClockOrderSetup(
        int hosts, double skewMillis, int meanLatencyMicros, int meanGapMicros, int messages, long seed) {}
