package org.elmline.daemon.gateway;

import org.elmline.core.common.BackendServerId;

/** The ways on which requests reach backend servers. Used on the I/O thread only. */
interface ServerLinks {
    /** Starts the search for a link to the target of a request. */
    LinkSearch newSearch(BackendTarget target, boolean nonRepeatable);

    /** Takes back a link after a complete answer, or an unused one. */
    void release(ServerLink link, int keepAliveSeconds);

    /** Whether this entry has no path of its own to a server. */
    boolean isCut(BackendServerId server);
}
