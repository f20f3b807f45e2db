package org.elmline.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Queue of calls that arrived before this entry had a routing table. After a restart of all hosts the table arrives
 * within a second or two; rejected at once, all callers would use up their retries before that. Used on the I/O thread
 * only.
 */
final class RoutingTableWaitQueue {
    /** Longest queue; a restarted entry gets some hundred connections in its first seconds. */
    private static final int MAX_WAITING_CALLS = 512;

    /** Longest wait: callers of streams leave after 2 s without an event, and a refusal must reach them before. */
    private static final long MAX_WAIT_MILLIS = 1_850;

    /** A call waits for at most its deadline divided by this; the rest is for the call itself. */
    private static final int DEADLINE_DIVISOR = 4;

    private final XnioIoThread thread;
    private final Deque<WaitingCall> waitingCalls = new ArrayDeque<>();

    private static final class WaitingCall {
        private final Runnable onTable;
        private final Runnable onTimeout;
        private XnioExecutor.Key timer;

        WaitingCall(Runnable onTable, Runnable onTimeout) {
            this.onTable = onTable;
            this.onTimeout = onTimeout;
        }
    }

    RoutingTableWaitQueue(XnioIoThread thread) {
        this.thread = thread;
    }

    /**
     * Queues a call until the table has arrived.
     *
     * @param deadlineMillis time until the caller's deadline; a call without one (negative) waits for 1 ms only
     * @param onTable run when the table has arrived in time
     * @param onTimeout run instead when it has not, or when the queue is full
     */
    void add(long deadlineMillis, Runnable onTable, Runnable onTimeout) {
        if (waitingCalls.size() >= MAX_WAITING_CALLS) {
            onTimeout.run();
            return;
        }
        WaitingCall call = new WaitingCall(onTable, onTimeout);
        long waitMillis = Math.min(MAX_WAIT_MILLIS, Math.max(0, deadlineMillis) / DEADLINE_DIVISOR);
        call.timer = thread.executeAfter(
                () -> {
                    if (waitingCalls.remove(call)) {
                        onTimeout.run();
                    }
                },
                Math.max(1, waitMillis),
                TimeUnit.MILLISECONDS);
        waitingCalls.add(call);
    }

    /** Runs all queued calls; to be called when the table has arrived. */
    void releaseAll() {
        removeAll(call -> call.onTable);
    }

    /** Gives up the wait of all queued calls. */
    void timeOutAll() {
        removeAll(call -> call.onTimeout);
    }

    private void removeAll(Function<WaitingCall, Runnable> next) {
        while (!waitingCalls.isEmpty()) {
            WaitingCall call = waitingCalls.poll();
            call.timer.remove();
            next.apply(call).run();
        }
    }
}
