package org.elmline.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Calls that came before this entry had a routing table. After a restart of everything the table is a second or two away;
 * turned away at once, all callers would use up their retries before it comes. Used on the I/O thread only.
 */
final class RoutingTableWaitQueue {
    /** Calls held at once; a restarted entry gets some hundred connections in its first seconds. */
    private static final int MAX_WAITING_CALLS = 512;

    /**
     * Longest hold: callers of streams leave after two seconds without an event, and must hear of a refusal before.
     */
    private static final long MAX_WAIT_MILLIS = 1_850;

    /** Part of a caller's time that the hold may take; the rest is for the call itself. */
    private static final int DEADLINE_DIVISOR = 4;

    private final XnioIoThread thread;
    private final Deque<WaitingCall> waitingCalls = new ArrayDeque<>();

    private static final class WaitingCall {
        private final Runnable onTable;
        private XnioExecutor.Key timer;

        WaitingCall(Runnable onTable) {
            this.onTable = onTable;
        }
    }

    RoutingTableWaitQueue(XnioIoThread thread) {
        this.thread = thread;
    }

    /**
     * Holds a call until the table has come.
     *
     * @param deadlineMillis how long its caller waits
     * @param onTimeout run instead when the table has not come in time
     */
    void add(long deadlineMillis, Runnable onTable, Runnable onTimeout) {
        if (waitingCalls.size() >= MAX_WAITING_CALLS) {
            onTimeout.run();
            return;
        }
        WaitingCall call = new WaitingCall(onTable);
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

    /** The table has come. */
    void releaseAll() {
        while (!waitingCalls.isEmpty()) {
            WaitingCall call = waitingCalls.poll();
            call.timer.remove();
            call.onTable.run();
        }
    }
}
