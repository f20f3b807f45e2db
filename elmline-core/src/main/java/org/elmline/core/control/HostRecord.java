package org.elmline.core.control;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;

/**
 * One live entry as published to every process.
 *
 * @param callers address for callers
 * @param peers address for elmline's own processes
 * @param operators address for operators
 * @param leaving true once it is stopping and must not be offered to callers or own backend servers
 */
public record HostRecord(
        HostId id,
        Incarnation incarnation,
        FailureDomain failureDomain,
        Region region,
        Address callers,
        Address peers,
        Address operators,
        boolean leaving) {
    public HostRecord {
        if (id == null || incarnation == null || failureDomain == null || region == null) {
            throw new IllegalArgumentException("a host needs id, incarnation, failure domain and region");
        }
        if (callers == null || peers == null || operators == null) {
            throw new IllegalArgumentException("a host needs its addresses");
        }
    }
}
