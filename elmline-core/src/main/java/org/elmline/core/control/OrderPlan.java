package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.BackendServerId;

/** The orders to send now, and the engines that must wait. */
public record OrderPlan(List<PlannedOrder> orders, List<Held> held) {
    public OrderPlan {
        orders = List.copyOf(orders);
        held = List.copyOf(held);
    }

    /** An engine that differs from its configured state, and why it receives no order. */
    public record Held(BackendServerId server, HoldReason reason) {}
}
