package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/**
 * Lets time pass for the dispatchers that this entry runs: often while calls wait, now and then while there are any, and
 * not at all on an entry that decides for nobody. Used on the I/O thread only.
 */
final class QueueTicks {
    /** Pause between two looks at waiting calls: a fifth of a pass of an engine. */
    private static final long WAITING_MILLIS = 10;

    private static final long IDLE_MILLIS = 100;

    private final XnioExecutor thread;
    private final DispatchService dispatchers;
    private XnioExecutor.Key next;
    private boolean often;

    QueueTicks(XnioExecutor thread, DispatchService dispatchers) {
        this.thread = thread;
        this.dispatchers = dispatchers;
        dispatchers.onWork(this::workCame);
    }

    /** There is a dispatcher that was not there, or a call that waits. */
    private void workCame() {
        boolean sooner = dispatchers.anyWaiting() && !often;
        if (next == null || sooner) {
            schedule();
        }
    }

    private void schedule() {
        if (next != null) {
            next.remove();
            next = null;
        }
        often = dispatchers.anyWaiting();
        if (often || dispatchers.any()) {
            next = thread.executeAfter(this::tick, often ? WAITING_MILLIS : IDLE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        next = null;
        dispatchers.tick();
        schedule();
    }
}
