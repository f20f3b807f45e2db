package org.elmline.daemon.gateway;

/** The parts that every request to a backend server uses. */
record BackendAccess(ServerLinks links, CallProtocol protocol, BackendGate gate) {}
