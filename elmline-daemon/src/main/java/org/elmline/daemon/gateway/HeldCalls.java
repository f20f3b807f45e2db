package org.elmline.daemon.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;

/**
 * Calls that wait while a part of their prompts is suspected to crash servers. Each is decided on again at every change
 * of the quarantine, and now and then, so that its entry asks for a trial. Used on the I/O thread only.
 */
final class HeldCalls {
    private static final long RETRY_INTERVAL_MILLIS = 100;

    private final XnioExecutor thread;
    private final Map<Object, Runnable> retries = new LinkedHashMap<>();
    private boolean retryScheduled;

    HeldCalls(XnioExecutor thread) {
        this.thread = thread;
    }

    /** Holds a call until it is retried; it may be held again then. */
    void add(Object call, Runnable retry) {
        retries.put(call, retry);
        scheduleRetry();
    }

    private void scheduleRetry() {
        if (!retryScheduled) {
            retryScheduled = true;
            thread.executeAfter(this::retryAgain, RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryAgain() {
        retryScheduled = false;
        retryAll();
    }

    /** Removes a call that has ended. */
    void remove(Object call) {
        retries.remove(call);
    }

    /** Decides on all held calls again. */
    void retryAll() {
        for (Object each : List.copyOf(retries.keySet())) {
            // Each one on its own: if it fails, the others are retried all the same.
            thread.execute(() -> retry(each));
        }
    }

    /** Does nothing for a call that has ended, or was retried, since its retry was due. */
    private void retry(Object call) {
        Runnable retry = retries.remove(call);
        if (retry != null) {
            retry.run();
        }
    }
}
