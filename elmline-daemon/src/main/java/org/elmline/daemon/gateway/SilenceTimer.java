package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.elmline.core.common.MonotonicClock;
import org.xnio.XnioExecutor;

/**
 * Notices that nothing has come from a server for too long. Silence counts only while this entry listened: an entry whose
 * thread was held up would else take every server that it serves callers from for dead at once. Used on the I/O thread
 * only.
 */
final class SilenceTimer {
    /** Lateness of a timer from which on the thread was held up. */
    private static final long STALLED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time to read what came while the thread was held up. */
    private static final long AFTER_STALL_MILLIS = 100;

    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final Runnable onSilence;
    private XnioExecutor.Key timer;

    SilenceTimer(XnioExecutor thread, MonotonicClock clock, Runnable onSilence) {
        this.thread = thread;
        this.clock = clock;
        this.onSilence = onSilence;
    }

    /** Expects something within a time from now, in place of what was expected before. */
    void expectWithin(long millis) {
        stop();
        long dueAt = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        timer = thread.executeAfter(() -> expired(dueAt), millis, TimeUnit.MILLISECONDS);
    }

    /** Expects nothing any more. */
    void stop() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    private void expired(long dueAt) {
        if (clock.nanos() - dueAt > STALLED_NANOS) {
            expectWithin(AFTER_STALL_MILLIS);
        } else {
            onSilence.run();
        }
    }
}
