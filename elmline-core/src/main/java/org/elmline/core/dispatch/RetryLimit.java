package org.elmline.core.dispatch;

/**
 * How many calls of a service may be retried.
 *
 * @param ratio retries for each first send
 * @param slack further retries per window, so that a service with few calls may retry at all
 * @param windowNanos length of the window
 */
public record RetryLimit(double ratio, long slack, long windowNanos) {
    /** The limit for each of so many parts that together must keep to this one. */
    public RetryLimit dividedInto(int parts) {
        return parts == 1 ? this : new RetryLimit(ratio, slack / parts, windowNanos);
    }
}
