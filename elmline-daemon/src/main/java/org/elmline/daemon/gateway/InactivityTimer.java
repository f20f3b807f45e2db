package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.MonotonicClock;
import org.xnio.XnioExecutor;

/**
 * Detects that a server has sent nothing for too long. A delay counts only while this entry's thread was running: after
 * a stall it would otherwise treat every server of its open calls as failed at once. Used on the I/O thread only.
 */
final class InactivityTimer {
    /** Delay of a timer from which on the thread is treated as stalled. */
    private static final long STALL_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time to read what arrived while the thread was stalled. */
    private static final long STALL_GRACE_MILLIS = 100;

    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final Runnable onInactive;
    private XnioExecutor.Key timer;

    InactivityTimer(XnioExecutor thread, MonotonicClock clock, Runnable onInactive) {
        this.thread = thread;
        this.clock = clock;
        this.onInactive = onInactive;
    }

    /** Starts or restarts the timer: without another restart or a cancel it expires after this time. */
    void restart(long millis) {
        cancel();
        long dueAtNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        timer = thread.executeAfter(() -> onTimer(dueAtNanos), millis, TimeUnit.MILLISECONDS);
    }

    /** Stops the timer. */
    void cancel() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    private void onTimer(long dueAtNanos) {
        if (clock.nanos() - dueAtNanos > STALL_THRESHOLD_NANOS) {
            restart(STALL_GRACE_MILLIS);
        } else {
            onInactive.run();
        }
    }
}
