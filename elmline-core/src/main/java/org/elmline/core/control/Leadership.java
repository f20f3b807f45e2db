package org.elmline.core.control;

import org.elmline.core.common.FencingNumber;

/**
 * One leader's term of office, on its own monotonic clock.
 *
 * @param fencing number that its {@link Command.StartLeadership} gave it
 * @param startedNanos when that command was applied here
 * @param leaseNanos whole length of a leader's lease: an earlier leader's ends within this of {@code startedNanos}
 */
public record Leadership(FencingNumber fencing, long startedNanos, long leaseNanos) {
    /** When no earlier leader can be sending any more. */
    long settledNanos() {
        return startedNanos + leaseNanos;
    }
}
