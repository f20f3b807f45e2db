package org.elmline.core.registry;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;

/**
 * One entry as it tells of itself.
 *
 * @param incarnation which start of the process; a later one has forgotten what an earlier one placed
 * @param callers where callers connect
 * @param peers where other elmline processes connect
 * @param serving false until it has a routing table, and once it stops
 */
public record EntryRecord(
        HostId host,
        long incarnation,
        Address callers,
        Address peers,
        FailureDomain failureDomain,
        Region region,
        boolean serving) {
    /** Written out: a control host compares at each poll, and what the compiler makes is linked as it first runs. */
    @Override
    public boolean equals(Object other) {
        return other instanceof EntryRecord that
                && incarnation == that.incarnation
                && serving == that.serving
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
