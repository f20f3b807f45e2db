package org.elmline.daemon.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.elmline.daemon.log.DecisionLog;
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
    private final DecisionLog log;

    OpenCalls(XnioIoThread thread, DecisionLog log) {
        this.thread = thread;
        this.log = log;
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
        forEach(OpenCall::checkCaller);
        thread.executeAfter(this::checkCallers, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs an action on all open calls. A call for which it fails does not keep it from the others. */
    void forEach(Consumer<OpenCall> action) {
        for (OpenCall each : all()) {
            try {
                action.accept(each);
            } catch (RuntimeException e) {
                log.line("open call failed").with("why", e).write();
            }
        }
    }
}
