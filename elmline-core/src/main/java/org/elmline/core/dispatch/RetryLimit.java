package org.elmline.core.dispatch;

/**
 * How many calls of a service may be repeated.
 *
 * @param ratio repetitions for each first send
 * @param slack repetitions a window beyond that, so that a quiet service may repeat at all
 * @param windowNanos length of the window
 */
public record RetryLimit(double ratio, long slack, long windowNanos) {
    /** The limit of each of so many parts that together must keep this one. */
    public RetryLimit dividedInto(int parts) {
        return parts == 1 ? this : new RetryLimit(ratio, slack / parts, windowNanos);
    }
}
