package org.elmline.bench.timeline;

/**
 * Cost of stamping events with hybrid time.
 *
 * @param threads threads that stamp concurrently
 * @param wallNanos nanoseconds to read the wall clock
 * @param stampNanos nanoseconds to create a hybrid time
 * @param mergeNanos nanoseconds to merge a remote time
 * @param recordNanos nanoseconds to record an event in the ring, including its stamp
 */
public record StampCostResult(
        int threads, double wallNanos, double stampNanos, double mergeNanos, double recordNanos) {}
