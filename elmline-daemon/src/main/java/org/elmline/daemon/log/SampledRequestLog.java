package org.elmline.daemon.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The log lines of one request. Lines on its successes may be left out while there are many; if the request fails later
 * they are written after all, since they hold the inputs that explain the failure. Not safe for concurrent use.
 */
public final class SampledRequestLog {
    private final String requestId;
    private final List<LogLine> sampledOutLines = new ArrayList<>();

    /** @param requestId decides whether the request is sampled, null for a request without one */
    public SampledRequestLog(String requestId) {
        this.requestId = requestId == null ? "" : requestId;
    }

    /** Writes the line of a successful step, or keeps it in case the request fails later. */
    public void logSuccess(LogLine line) {
        if (!line.writeSampled(requestId)) {
            sampledOutLines.add(line);
        }
    }

    /** Writes the line of a failure, preceded by the lines of the request that were sampled out so far. */
    public void logFailure(LogLine line) {
        sampledOutLines.forEach(LogLine::write);
        sampledOutLines.clear();
        line.write();
    }
}
