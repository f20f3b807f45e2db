package org.elmline.standin.engine;

import org.elmline.core.engine.EngineLoad;

/** Delays load reports: each report is the load sampled one to two intervals earlier. Not thread-safe. */
public final class DelayedLoad {
    private static final EngineLoad NONE = new EngineLoad(0, 0, 0);

    private final long intervalNanos;
    private EngineLoad previous = NONE;
    private EngineLoad current = NONE;
    private long sampledAtNanos = Long.MIN_VALUE / 2;

    public DelayedLoad(long intervalNanos) {
        this.intervalNanos = intervalNanos;
    }

    public EngineLoad report(EngineLoad actual, long nowNanos) {
        if (nowNanos - sampledAtNanos >= intervalNanos) {
            previous = current;
            current = actual;
            sampledAtNanos = nowNanos;
        }
        return previous;
    }
}
