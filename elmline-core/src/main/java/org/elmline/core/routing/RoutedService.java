package org.elmline.core.routing;

import java.util.Optional;

import org.elmline.core.common.ServiceName;

/**
 * A service that routes may name as their target.
 *
 * @param maxConnections largest number of connections to one backend server from all callers together
 * @param timing timing model of its engines; null for a plain service
 */
public record RoutedService(ServiceName name, int maxConnections, BatchTiming timing) {
    public Optional<BatchTiming> batchTiming() {
        return Optional.ofNullable(timing);
    }
}
