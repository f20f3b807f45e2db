package org.elmline.bench.timeline;

/**
 * What stamping costs.
 *
 * @param threads threads that stamp at once
 * @param wallNanos nanoseconds to read the wall clock
 * @param stampNanos nanoseconds for a hybrid time
 * @param mergeNanos nanoseconds to take over a remote time
 * @param recordNanos nanoseconds to record an event in the ring, its stamp included
 */
public record StampCostResult(
        int threads, double wallNanos, double stampNanos, double mergeNanos, double recordNanos) {}
