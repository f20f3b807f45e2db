package org.elmline.core.routing;

import org.elmline.core.common.ServiceName;

/** A service and its weight among the services of a route. */
public record WeightedService(ServiceName service, int weight) {
    public WeightedService {
        if (service == null || weight < 0) {
            throw new IllegalArgumentException("a share needs a service and a weight of 0 or more");
        }
    }
}
