package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/**
 * Ticks the dispatchers of this entry: every 10 ms while calls wait, every 100 ms while there are dispatchers, and not
 * at all on an entry without any. Used on the I/O thread only.
 */
final class DispatchTicker {
    /** Interval between two passes over waiting calls: a fifth of the time of one engine pass. */
    private static final long WAITING_INTERVAL_MILLIS = 10;

    private static final long IDLE_INTERVAL_MILLIS = 100;

    private final XnioExecutor thread;
    private final DispatchService dispatchers;
    private XnioExecutor.Key nextTick;
    private boolean isFrequent;

    DispatchTicker(XnioExecutor thread, DispatchService dispatchers) {
        this.thread = thread;
        this.dispatchers = dispatchers;
        dispatchers.onWorkAdded(this::onWorkAdded);
    }

    /** A dispatcher was created, or a call began to wait. */
    private void onWorkAdded() {
        boolean sooner = dispatchers.hasWaitingCalls() && !isFrequent;
        if (nextTick == null || sooner) {
            schedule();
        }
    }

    private void schedule() {
        if (nextTick != null) {
            nextTick.remove();
            nextTick = null;
        }
        isFrequent = dispatchers.hasWaitingCalls();
        if (isFrequent || dispatchers.hasDispatchers()) {
            nextTick = thread.executeAfter(
                    this::tick, isFrequent ? WAITING_INTERVAL_MILLIS : IDLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        nextTick = null;
        dispatchers.tick();
        schedule();
    }
}
