package org.elmline.daemon.gateway;

import io.undertow.client.ClientRequest;
import org.elmline.core.common.BackendServerId;

/** The ways on which requests reach backend servers. Used on the I/O thread only. */
interface ServerLinks {
    /** Starts the search for a link to the target of a request. */
    LinkSearch newSearch(BackendTarget target, boolean nonRepeatable);

    /** Takes back a link after a complete answer, or an unused one. */
    void release(ServerLink link, int keepAliveSeconds);

    /** Adds to a request what the entry needs to know that forwards it. */
    void addRelayHeaders(ClientRequest request, RelayRequest relayRequest);

    /** Whether this entry has no path of its own to a server. */
    boolean isCut(BackendServerId server);
}
