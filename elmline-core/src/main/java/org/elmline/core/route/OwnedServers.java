package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.HostId;

/** How many backend servers each owner has, as its summaries say. */
@FunctionalInterface
public interface OwnedServers {
    /** Ids of the owned servers, shortened by {@link Ownership#shortHash}; empty for an owner not heard of. */
    List<Integer> serverHashes(HostId owner);
}
