package org.elmline.core.placement;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.elmline.core.common.ModelName;

/** Caches each model's latest order, since replicas change far less often than requests arrive. Thread-safe. */
final class ReplicaOrderCache {
    private final Map<ModelName, ReplicaOrder> latestByModel = new ConcurrentHashMap<>();

    ReplicaOrder orderFor(ModelName model, List<Replica> replicas) {
        ReplicaOrder order = latestByModel.get(model);
        if (order == null || !order.matches(replicas)) {
            order = ReplicaOrder.of(model, replicas);
            latestByModel.put(model, order);
        }
        return order;
    }
}
