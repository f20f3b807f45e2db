package org.elmline.core.placement;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.elmline.core.common.ModelName;

/** Keeps each model's latest order, since its replicas change far more seldom than requests come. */
final class ReplicaOrders {
    private final Map<ModelName, ReplicaOrder> latest = new ConcurrentHashMap<>();

    ReplicaOrder of(ModelName model, List<Replica> replicas) {
        ReplicaOrder order = latest.get(model);
        if (order == null || !order.matches(replicas)) {
            order = ReplicaOrder.of(model, replicas);
            latest.put(model, order);
        }
        return order;
    }
}
