package org.elmline.daemon.coordinator;

import io.undertow.server.HttpHandler;

/**
 * Protocol between a control host and its operators and backend servers. It translates requests and answers, and makes
 * no decisions.
 */
public interface CoordinatorProtocol {
    /** Returns the handler for requests of operators and backend servers. */
    HttpHandler operatorHandler(RoutingService routing, RegistryService registry, EvacuationService evacuations);
}
