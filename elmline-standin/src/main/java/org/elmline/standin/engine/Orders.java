package org.elmline.standin.engine;

import org.elmline.core.common.FencingNumber;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.OrderAnswer;

/** What an engine was ordered to serve. Weights take a while to load; an engine may check fencing numbers or ignore. */
final class Orders {
    private final boolean checksFencing;
    private final long weightLoadNanos;
    private FencingNumber highest = FencingNumber.of(0);
    private EngineState wanted;
    private long readyNanos = Long.MIN_VALUE;

    Orders(EngineSettings settings) {
        checksFencing = settings.checksFencing();
        weightLoadNanos = settings.weightLoadNanos();
        wanted = settings.initialState();
    }

    OrderAnswer accept(EngineOrder order, long nowNanos) {
        if (order.fencing() == null || order.model() == null || order.version() == null) {
            return OrderAnswer.INVALID;
        }
        if (checksFencing && order.fencing().compareTo(highest) < 0) {
            return OrderAnswer.STALE_FENCING_NUMBER;
        }
        if (order.fencing().compareTo(highest) > 0) {
            highest = order.fencing();
        }
        boolean loads = !order.model().equals(wanted.model())
                || !order.version().equals(wanted.version())
                || !wanted.adapters().containsAll(order.adapters());
        if (loads) {
            readyNanos = nowNanos + weightLoadNanos;
        }
        wanted = new EngineState(order.model(), order.version(), order.adapters(), order.role(), false);
        return OrderAnswer.ACCEPTED;
    }

    EngineState state(long nowNanos) {
        return new EngineState(
                wanted.model(), wanted.version(), wanted.adapters(), wanted.role(), nowNanos >= readyNanos);
    }
}
