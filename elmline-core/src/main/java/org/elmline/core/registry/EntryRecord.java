package org.elmline.core.registry;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;

/**
 * An entry's description of itself.
 *
 * @param incarnation which start of the process; a later start holds no state of what an earlier one placed
 * @param callers address for callers
 * @param peers address for other elmline processes
 * @param serving false before the entry has a routing table and while it stops
 * @param overloaded whether its thread falls behind, so that further callers should go to other entries; false from an
 *     earlier release
 */
public record EntryRecord(
        HostId host,
        long incarnation,
        Address callers,
        Address peers,
        FailureDomain failureDomain,
        Region region,
        boolean serving,
        boolean overloaded) {
    public EntryRecord {
        if (host == null || callers == null || peers == null || failureDomain == null || region == null) {
            throw new IllegalArgumentException("an entry needs host, addresses, failure domain and region");
        }
    }

    /**
     * Written by hand because control hosts compare entries at each poll: the method that the compiler generates for a
     * record is linked on its first call, which would delay that poll.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof EntryRecord that
                && incarnation == that.incarnation
                && serving == that.serving
                && overloaded == that.overloaded
                && host.equals(that.host)
                && callers.equals(that.callers)
                && peers.equals(that.peers)
                && failureDomain.equals(that.failureDomain)
                && region.equals(that.region);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + Long.hashCode(incarnation);
    }
}
