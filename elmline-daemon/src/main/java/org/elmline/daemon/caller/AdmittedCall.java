package org.elmline.daemon.caller;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.RequestId;
import org.elmline.core.config.Organisation;

/**
 * A call that was admitted, with its organisation and deadline.
 *
 * @param receivedNanos time of receipt on the monotonic clock
 * @param deadlineNanos time by which the call must be answered, on the monotonic clock
 */
public record AdmittedCall(RequestId id, Organisation organisation, long receivedNanos, long deadlineNanos) {
    long remainingMillis(MonotonicClock clock) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nanos());
    }
}
