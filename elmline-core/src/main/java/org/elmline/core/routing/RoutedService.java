package org.elmline.core.routing;

import java.util.Optional;

import org.elmline.core.common.ServiceName;

/**
 * A service that routes may name as their target.
 *
 * @param maxConnections largest number of connections to one backend server from all callers together
 * @param timing timing model of its engines; null for a plain service
 * @param cold what its servers take while they are cold
 */
public record RoutedService(ServiceName name, int maxConnections, BatchTiming timing, ColdStart cold) {
    /** Creates a service whose servers are never cold. */
    public RoutedService(ServiceName name, int maxConnections, BatchTiming timing) {
        this(name, maxConnections, timing, ColdStart.NEVER);
    }

    public Optional<BatchTiming> batchTiming() {
        return Optional.ofNullable(timing);
    }
}
