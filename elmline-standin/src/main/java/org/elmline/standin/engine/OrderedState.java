package org.elmline.standin.engine;

import org.elmline.core.common.FencingNumber;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.OrderAnswer;

/**
 * Model, version, adapters and role that an engine was ordered to serve. After an order that changes weights the engine
 * is not ready until they are loaded. Orders with a stale fencing number are rejected only by engines that check
 * fencing numbers. Not thread-safe.
 */
final class OrderedState {
    private final boolean checksFencing;
    private final long weightLoadNanos;
    private FencingNumber highestFencing = FencingNumber.of(0);
    private EngineState orderedState;
    private long readyAtNanos = Long.MIN_VALUE;

    OrderedState(EngineSettings settings) {
        checksFencing = settings.checksFencing();
        weightLoadNanos = settings.weightLoadNanos();
        orderedState = settings.initialState();
    }

    OrderAnswer accept(EngineOrder order, long nowNanos) {
        if (order.fencing() == null || order.model() == null || order.version() == null) {
            return OrderAnswer.INVALID;
        }
        if (checksFencing && order.fencing().compareTo(highestFencing) < 0) {
            return OrderAnswer.STALE_FENCING_NUMBER;
        }
        if (order.fencing().compareTo(highestFencing) > 0) {
            highestFencing = order.fencing();
        }
        boolean loads = !order.model().equals(orderedState.model())
                || !order.version().equals(orderedState.version())
                || !orderedState.adapters().containsAll(order.adapters());
        if (loads) {
            readyAtNanos = nowNanos + weightLoadNanos;
        }
        orderedState = new EngineState(order.model(), order.version(), order.adapters(), order.role(), false);
        return OrderAnswer.ACCEPTED;
    }

    EngineState state(long nowNanos) {
        return new EngineState(
                orderedState.model(),
                orderedState.version(),
                orderedState.adapters(),
                orderedState.role(),
                nowNanos >= readyAtNanos);
    }
}
