package org.elmline.standin.engine;

import org.elmline.core.engine.EngineLoad;

/** Reports the load of one or two intervals ago. */
public final class LaggingLoad {
    private static final EngineLoad NONE = new EngineLoad(0, 0, 0);

    private final long intervalNanos;
    private EngineLoad previous = NONE;
    private EngineLoad current = NONE;
    private long takenNanos = Long.MIN_VALUE / 2;

    public LaggingLoad(long intervalNanos) {
        this.intervalNanos = intervalNanos;
    }

    public EngineLoad report(EngineLoad actual, long nowNanos) {
        if (nowNanos - takenNanos >= intervalNanos) {
            previous = current;
            current = actual;
            takenNanos = nowNanos;
        }
        return previous;
    }
}
