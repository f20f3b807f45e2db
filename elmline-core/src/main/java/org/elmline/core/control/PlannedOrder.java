package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.EngineOrder;

/**
 * An order to send now. A leader that is frozen between planning and sending wakes deposed, with the order in hand; an
 * engine that ignores fencing numbers would obey it over the new leader's. So the sender reads its clock right before
 * it sends, passes it to {@link #timeLimitNanos}, and gives up the connection when that time is over.
 *
 * @param sendDeadlineNanos when sending must be over, well inside the leader's lease
 */
public record PlannedOrder(BackendServerId server, EngineOrder order, long sendDeadlineNanos) {
    /** Nanoseconds that sending may take from now; 0 when it must not be sent any more. */
    public long timeLimitNanos(long nowNanos) {
        return Math.max(0, sendDeadlineNanos - nowNanos);
    }

    /** The same in whole milliseconds. */
    public long timeLimitMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(timeLimitNanos(nowNanos));
    }
}
