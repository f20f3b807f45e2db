package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.HostId;

/** The backend servers of each owner, according to its summary. */
@FunctionalInterface
public interface OwnedServers {
    /** Ids of the owned servers, shortened by {@link Ownership#shortHash}; empty for an owner without a summary. */
    List<Integer> serverHashes(HostId owner);
}
