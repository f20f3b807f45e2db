package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/**
 * Lets time pass for the dispatchers that this entry runs: often while calls wait, now and then while there are any, and
 * not at all on an entry that decides for nobody. Used on the I/O thread only.
 */
final class DispatchTicker {
    /** Pause between two looks at waiting calls: a fifth of a pass of an engine. */
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

    /** There is a dispatcher that was not there, or a call that waits. */
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
