package org.elmline.daemon.node;

import java.time.Duration;

import org.elmline.core.dispatch.RetryLimit;

/**
 * Limit on calls that are sent to a second backend server, over all entries together.
 *
 * @param ratio allowed retries per first attempt
 * @param slack allowed retries per window in addition
 * @param windowSeconds length of the window in seconds
 */
public record RetrySettings(double ratio, int slack, int windowSeconds) {
    public static final RetrySettings DEFAULT = new RetrySettings(0.1, 20, 10);

    /**
     * Share of the slack that one dispatcher grants: while entries briefly disagree on which of them dispatches, two
     * dispatchers may each grant theirs, together less than the slack.
     */
    private static final double DISPATCHER_SLACK_SHARE = 0.4;

    public RetryLimit retryLimit() {
        return new RetryLimit(
                ratio,
                (long) (slack * DISPATCHER_SLACK_SHARE),
                Duration.ofSeconds(windowSeconds).toNanos());
    }
}
