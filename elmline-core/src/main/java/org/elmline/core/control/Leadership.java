package org.elmline.core.control;

import org.elmline.core.common.FencingNumber;

/**
 * One leader's period of leadership, on its own monotonic clock.
 *
 * @param fencing number assigned by its {@link Command.StartLeadership}
 * @param startedNanos when that command was applied here
 * @param leaseNanos full length of a leader's lease: an earlier leader's lease ends within this time after {@code
 *     startedNanos}
 */
public record Leadership(FencingNumber fencing, long startedNanos, long leaseNanos) {
    /** The time from which no earlier leader can be sending any more. */
    long settledNanos() {
        return startedNanos + leaseNanos;
    }
}
