package org.elmline.core.evacuation;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;

/**
 * Whether one failure domain is evacuated, by its latest change.
 *
 * @param change number of the change; numbers increase over all failure domains
 * @param wallMillis time of the change by the leader's wall clock, in milliseconds since 1970; for people only
 * @param acceptedBy the control host that accepted the order
 */
public record EvacuationRecord(
        FailureDomain domain, boolean evacuated, long change, long wallMillis, HostId acceptedBy) {
    public EvacuationRecord {
        if (domain == null) {
            throw new IllegalArgumentException("an evacuation record needs a failure domain");
        }
    }
}
