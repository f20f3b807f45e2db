package org.elmline.daemon.coordinator;

import java.util.List;

import org.elmline.core.quarantine.QuarantineRecord;

/** The quarantine's records, as a control host persists them for its next start. */
record PersistedQuarantine(List<QuarantineRecord> records) {
    PersistedQuarantine {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
