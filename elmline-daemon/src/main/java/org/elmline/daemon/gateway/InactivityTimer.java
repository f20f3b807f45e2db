package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.MonotonicClock;
import org.xnio.XnioExecutor;

/**
 * Notices that nothing has come from a server for too long. Silence counts only while this entry listened: an entry whose
 * thread was held up would else take every server that it serves callers from for dead at once. Used on the I/O thread
 * only.
 */
final class InactivityTimer {
    /** Lateness of a timer from which on the thread was held up. */
    private static final long STALL_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time to read what came while the thread was held up. */
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

    /** Expects something within a time from now, in place of what was expected before. */
    void restart(long millis) {
        cancel();
        long dueAtNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        timer = thread.executeAfter(() -> onTimer(dueAtNanos), millis, TimeUnit.MILLISECONDS);
    }

    /** Expects nothing any more. */
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
