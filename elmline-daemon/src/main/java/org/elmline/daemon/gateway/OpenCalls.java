package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

/**
 * The open calls, of callers and of other entries. Detects senders that have disconnected while nothing is written to
 * them by polling their connections. Used on the I/O thread only.
 */
final class OpenCalls {
    /** Interval of the checks; a backend server must be notified within half a second. */
    private static final long CHECK_INTERVAL_MILLIS = 120;

    private final Set<OpenCall> calls = new LinkedHashSet<>();
    private final XnioIoThread thread;

    OpenCalls(XnioIoThread thread) {
        this.thread = thread;
        checkCallers();
    }

    void add(OpenCall call) {
        calls.add(call);
    }

    void remove(OpenCall call) {
        calls.remove(call);
    }

    int size() {
        return calls.size();
    }

    List<OpenCall> all() {
        return List.copyOf(calls);
    }

    private void checkCallers() {
        for (OpenCall each : new ArrayList<>(calls)) {
            each.checkCaller();
        }
        thread.executeAfter(this::checkCallers, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
