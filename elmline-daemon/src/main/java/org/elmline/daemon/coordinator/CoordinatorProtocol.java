package org.elmline.daemon.coordinator;

import io.undertow.server.HttpHandler;

/** How operators and backend servers speak to a control host; translates and decides nothing. */
public interface CoordinatorProtocol {
    /** Answers operators and backend servers. */
    HttpHandler operatorHandler(RoutingService routing, RegistryService registry);
}
