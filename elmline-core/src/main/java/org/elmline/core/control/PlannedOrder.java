package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.EngineOrder;

/**
 * An order to send now. A leader that is frozen between planning and sending is deposed when it resumes, and an engine
 * that ignores fencing numbers would execute its order in place of the new leader's. The sender must therefore read its
 * clock right before it sends, pass it to {@link #timeLimitNanos}, and close the connection when that time is over.
 *
 * @param sendDeadlineNanos when sending must be over, well inside the leader's lease, on the leader's monotonic clock
 */
public record PlannedOrder(BackendServerId server, EngineOrder order, long sendDeadlineNanos) {
    /** Nanoseconds that sending may take from now; 0 when it must not be sent any more. */
    public long timeLimitNanos(long nowNanos) {
        return Math.max(0, sendDeadlineNanos - nowNanos);
    }

    /** {@link #timeLimitNanos} in whole milliseconds, rounded down. */
    public long timeLimitMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(timeLimitNanos(nowNanos));
    }
}
