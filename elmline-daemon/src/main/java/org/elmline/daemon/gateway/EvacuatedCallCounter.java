package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.elmline.core.common.BackendServerId;
import org.xnio.XnioExecutor;

/**
 * Counts the calls that this entry still runs on evacuated servers, while there are any, for operators. Used on the I/O
 * thread only.
 */
final class EvacuatedCallCounter {
    private static final long INTERVAL_MILLIS = 250;

    private final EvacuationView evacuations;
    private final ToIntFunction<Predicate<BackendServerId>> openCalls;
    private final Predicate<BackendServerId> isEvacuated;
    private final XnioExecutor thread;

    /** @param openCalls counts the open calls on servers that match */
    EvacuatedCallCounter(
            EvacuationView evacuations,
            ToIntFunction<Predicate<BackendServerId>> openCalls,
            Predicate<BackendServerId> isEvacuated,
            XnioExecutor thread) {
        this.evacuations = evacuations;
        this.openCalls = openCalls;
        this.isEvacuated = isEvacuated;
        this.thread = thread;
        count();
    }

    private void count() {
        thread.executeAfter(this::count, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        evacuations.recordRunningCalls(evacuations.isAnyEvacuated() ? openCalls.applyAsInt(isEvacuated) : 0);
    }
}
