package org.elmline.core.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.ServiceName;

/**
 * A plain service, routed to besides the model engines.
 *
 * @param idempotentMethods HTTP methods that may be retried, for example GET; all others run at most once
 * @param timeoutMillis longest time one call may take, in milliseconds
 * @param removed true when calls are no longer routed to the service
 */
@JsonTypeName("service")
public record Service(ServiceName name, List<String> idempotentMethods, int timeoutMillis, boolean removed)
        implements ConfigObject {
    public Service {
        idempotentMethods = idempotentMethods == null ? List.of("GET", "HEAD") : List.copyOf(idempotentMethods);
        if (name == null || timeoutMillis < 1) {
            throw new IllegalArgumentException("service " + name + ": timeoutMillis must be at least 1");
        }
    }

    @Override
    public String key() {
        return "service/" + name;
    }
}
