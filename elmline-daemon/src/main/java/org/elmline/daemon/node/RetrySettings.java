package org.elmline.daemon.node;

import java.time.Duration;

import org.elmline.core.dispatch.RetryLimit;

/**
 * How many calls may be sent to a second backend server, over all entries together.
 *
 * @param ratio repetitions for each first send
 * @param slack repetitions a window beyond that
 * @param windowSeconds length of the window
 */
public record RetrySettings(double ratio, int slack, int windowSeconds) {
    public static final RetrySettings DEFAULT = new RetrySettings(0.1, 20, 10);

    /**
     * Part of the slack that one dispatcher gives out: while the entries disagree for a moment on who dispatches, two may
     * give out theirs.
     */
    private static final double DISPATCHER_SLACK_SHARE = 0.4;

    public RetryLimit retryLimit() {
        return new RetryLimit(
                ratio,
                (long) (slack * DISPATCHER_SLACK_SHARE),
                Duration.ofSeconds(windowSeconds).toNanos());
    }
}
