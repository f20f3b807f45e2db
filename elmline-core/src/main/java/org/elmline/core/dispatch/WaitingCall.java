package org.elmline.core.dispatch;

import java.util.Comparator;
import java.util.List;

import org.elmline.core.common.BackendServerId;

/**
 * A call that waits for a slot, with absolute monotonic times in nanoseconds instead of remaining times.
 *
 * @param enqueuedAtNanos when it was received
 * @param dueAtNanos when it becomes late
 * @param lateFromNanos from when on it counts as late in the order of placement
 * @param firstTokenDeadlineNanos until when a first token is of use
 * @param deadlineNanos until when its caller waits
 */
record WaitingCall(
        DispatchCall call,
        long enqueuedAtNanos,
        long dueAtNanos,
        long lateFromNanos,
        long firstTokenDeadlineNanos,
        long deadlineNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** @param firstMillis time from placement to the first token, without which it cannot meet its aim */
    static WaitingCall of(DispatchCall call, double firstMillis, long now) {
        return new WaitingCall(
                call,
                now,
                now + call.aimLeftMillis() * NANOS_PER_MILLI,
                now + (long) ((call.aimLeftMillis() - firstMillis) * NANOS_PER_MILLI),
                now + call.firstLeftMillis() * NANOS_PER_MILLI,
                now + call.deadlineLeftMillis() * NANOS_PER_MILLI);
    }

    /** The same call, which now avoids these servers. */
    WaitingCall avoiding(List<BackendServerId> servers) {
        return new WaitingCall(
                call.avoiding(servers),
                enqueuedAtNanos,
                dueAtNanos,
                lateFromNanos,
                firstTokenDeadlineNanos,
                deadlineNanos);
    }

    /**
     * The order in which calls are placed: those that can still meet their aim before late ones; within both by
     * priority, then by due time.
     */
    static Comparator<WaitingCall> placementOrder(long now) {
        return Comparator.comparing((WaitingCall each) -> each.isLate(now))
                .thenComparingInt(each -> each.call().priority())
                .thenComparingLong(WaitingCall::dueAtNanos);
    }

    /** The call with the times that remain now. */
    DispatchCall callAt(long now) {
        return call.withRemainingTimes(
                (dueAtNanos - now) / NANOS_PER_MILLI,
                (firstTokenDeadlineNanos - now) / NANOS_PER_MILLI,
                (deadlineNanos - now) / NANOS_PER_MILLI);
    }

    long deadlineLeftMillis(long now) {
        return (deadlineNanos - now) / NANOS_PER_MILLI;
    }

    private boolean isLate(long now) {
        return now - lateFromNanos >= 0;
    }
}
