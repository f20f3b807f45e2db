package org.elmline.core.quarantine;

import java.util.List;

import org.elmline.core.common.HostId;

/**
 * What one entry has observed since its last report.
 *
 * @param records records in force at the entry that the control host does not hold, as it has lost its files
 */
public record EvidenceReport(
        HostId entry,
        List<ServerCrash> crashes,
        List<PartPass> passes,
        List<GroupDemand> demands,
        List<QuarantineRecord> records) {
    public EvidenceReport {
        if (entry == null) {
            throw new IllegalArgumentException("a report needs its entry");
        }
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
        passes = passes == null ? List.of() : List.copyOf(passes);
        demands = demands == null ? List.of() : List.copyOf(demands);
        records = records == null ? List.of() : List.copyOf(records);
    }
}
