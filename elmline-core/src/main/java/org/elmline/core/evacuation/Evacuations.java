package org.elmline.core.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.elmline.core.common.FailureDomain;

/**
 * The evacuations of all failure domains at one version.
 *
 * @param version number of the latest change of any failure domain; 0 before the first one
 * @param records one for each failure domain that was ever ordered to be evacuated
 */
public record Evacuations(long version, List<EvacuationRecord> records) {
    public static final Evacuations NONE = new Evacuations(0, List.of());

    public Evacuations {
        records = records == null ? List.of() : List.copyOf(records);
    }

    /** The record of a failure domain; empty when no order has ever changed it. */
    public Optional<EvacuationRecord> record(FailureDomain domain) {
        for (EvacuationRecord each : records) {
            if (each.domain().equals(domain)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    public boolean isEvacuated(FailureDomain domain) {
        return record(domain).map(EvacuationRecord::evacuated).orElse(false);
    }

    /** Whether any failure domain is evacuated. */
    public boolean isAnyEvacuated() {
        return evacuatedDomains() > 0;
    }

    /** Number of evacuated failure domains. */
    public int evacuatedDomains() {
        int count = 0;
        for (EvacuationRecord each : records) {
            count += each.evacuated() ? 1 : 0;
        }
        return count;
    }

    /** Number of the latest change of a failure domain; 0 without one. */
    public long changeOf(FailureDomain domain) {
        return record(domain).map(EvacuationRecord::change).orElse(0L);
    }

    /** The records that have changed after a version. */
    public List<EvacuationRecord> changesSince(long seen) {
        List<EvacuationRecord> changes = new ArrayList<>();
        for (EvacuationRecord each : records) {
            if (each.change() > seen) {
                changes.add(each);
            }
        }
        return changes;
    }
}
