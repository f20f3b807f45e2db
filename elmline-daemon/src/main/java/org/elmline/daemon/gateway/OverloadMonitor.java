package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.registry.OverloadDetector;
import org.elmline.daemon.log.DecisionLog;
import org.xnio.XnioExecutor;

/** Watches whether the I/O thread of this entry falls behind. Runs on that thread; its state may be read by any. */
final class OverloadMonitor {
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final OverloadDetector detector = new OverloadDetector();
    private volatile boolean overloaded;
    private XnioExecutor thread;
    private long dueAtNanos;

    OverloadMonitor(MonotonicClock clock, DecisionLog log, MetricRegistry metrics) {
        this.clock = clock;
        this.log = log;
        metrics.gauge("entry.overloaded", () -> () -> overloaded ? 1 : 0);
    }

    void start(XnioExecutor ioThread) {
        thread = ioThread;
        schedule();
    }

    private void schedule() {
        dueAtNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(OverloadDetector.INTERVAL_MILLIS);
        thread.executeAfter(this::run, OverloadDetector.INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void run() {
        long now = clock.nanos();
        if (detector.record(now - dueAtNanos, now)) {
            overloaded = detector.isOverloaded();
            log.line(overloaded ? "entry overloaded" : "entry recovered")
                    .with("delayMs", TimeUnit.NANOSECONDS.toMillis(now - dueAtNanos))
                    .write();
        }
        schedule();
    }

    boolean isOverloaded() {
        return overloaded;
    }
}
