package org.elmline.daemon.gateway;

import io.undertow.client.ClientConnection;
import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;

/**
 * A connection over which a request reaches a backend server.
 *
 * @param peer the other end of the connection
 * @param relay the entry that forwards the request; null on a connection to the server itself
 */
record ServerLink(ClientConnection connection, Address peer, HostId relay) {
    ConnectionGuards guards() {
        return ConnectionGuards.of(connection);
    }

    boolean isRelayed() {
        return relay != null;
    }
}
