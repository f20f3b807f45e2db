package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioIoThread;

/**
 * The calls that are being served, and the watch over their callers: one who hangs up while nothing is written is found
 * by looking at the connection now and then. Used on the I/O thread only.
 */
final class OpenCalls {
    /** Pause between two looks; a backend server must be told within half a second. */
    private static final long CHECK_INTERVAL_MILLIS = 120;

    private final Set<Call> calls = new LinkedHashSet<>();
    private final XnioIoThread thread;

    OpenCalls(XnioIoThread thread) {
        this.thread = thread;
        checkCallers();
    }

    void add(Call call) {
        calls.add(call);
    }

    void remove(Call call) {
        calls.remove(call);
    }

    int size() {
        return calls.size();
    }

    List<Call> all() {
        return List.copyOf(calls);
    }

    private void checkCallers() {
        for (Call each : new ArrayList<>(calls)) {
            each.checkCaller();
        }
        thread.executeAfter(this::checkCallers, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
