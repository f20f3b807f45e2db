package org.elmline.daemon.caller;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.RequestId;
import org.elmline.core.config.Organisation;

/**
 * A call that passed the gate: who makes it and until when it must have its answer.
 *
 * @param deadlineNanos on the monotonic clock
 */
public record AdmittedCall(RequestId id, Organisation organisation, long receivedNanos, long deadlineNanos) {
    long remainingMillis(MonotonicClock clock) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nanos());
    }
}
