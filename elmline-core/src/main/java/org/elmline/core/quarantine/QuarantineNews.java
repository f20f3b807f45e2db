package org.elmline.core.quarantine;

import java.util.List;

/**
 * All that a control host holds on quarantined parts.
 *
 * @param number number of its latest change
 */
public record QuarantineNews(long number, List<QuarantineRecord> records, List<SuspectParts> suspects) {
    public QuarantineNews {
        records = records == null ? List.of() : List.copyOf(records);
        suspects = suspects == null ? List.of() : List.copyOf(suspects);
    }
}
