package org.elmline.core.stream;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;

/**
 * Memory on an engine that must be freed.
 *
 * @param exportId the KV export to free; empty to cancel the attempt's stream
 */
public record Cancel(BackendServerId server, AttemptId attempt, String exportId) {
    public static Cancel stream(BackendServerId server, AttemptId attempt) {
        return new Cancel(server, attempt, "");
    }

    public static Cancel export(BackendServerId server, AttemptId attempt, String exportId) {
        return new Cancel(server, attempt, exportId);
    }

    public boolean targetsExport() {
        return !exportId.isEmpty();
    }
}
