package org.elmline.core.dispatch;

import java.util.Comparator;

/**
 * A call that waits for a place, with its times as moments rather than as what is left of them.
 *
 * @param since when it came
 * @param dueAt when it becomes late
 * @param uselessAt until when a first token is of use
 * @param deadlineAt until when its caller waits
 */
record WaitingCall(PlaceCall call, long since, long dueAt, long uselessAt, long deadlineAt) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    static WaitingCall of(PlaceCall call, long now) {
        return new WaitingCall(
                call,
                now,
                now + call.aimLeftMillis() * NANOS_PER_MILLI,
                now + call.firstLeftMillis() * NANOS_PER_MILLI,
                now + call.deadlineLeftMillis() * NANOS_PER_MILLI);
    }

    /**
     * The order in which calls get places: those that can still be in time before those that can't; within both the more
     * urgent, then the one due first.
     */
    static Comparator<WaitingCall> order(long now) {
        return Comparator.comparing((WaitingCall each) -> each.lateAt(now))
                .thenComparingInt(each -> each.call().priority())
                .thenComparingLong(WaitingCall::dueAt);
    }

    /** The call with the times that are left of it now. */
    PlaceCall callAt(long now) {
        return call.withTimes(
                (dueAt - now) / NANOS_PER_MILLI,
                (uselessAt - now) / NANOS_PER_MILLI,
                (deadlineAt - now) / NANOS_PER_MILLI);
    }

    long deadlineLeftMillis(long now) {
        return (deadlineAt - now) / NANOS_PER_MILLI;
    }

    private boolean lateAt(long now) {
        return now - dueAt >= 0;
    }
}
