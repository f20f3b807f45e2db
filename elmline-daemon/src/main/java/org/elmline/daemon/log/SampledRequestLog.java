package org.elmline.daemon.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The log lines of one request. Lines on its successes may be left out while there are many; should the request fail
 * later, they are written after all, since they hold the inputs that explain it. Not safe for concurrent use.
 */
public final class SampledRequestLog {
    private final String requestId;
    private final List<LogLine> sampledOutLines = new ArrayList<>();

    /** @param requestId id by which lines are chosen, null for a request without one */
    public SampledRequestLog(String requestId) {
        this.requestId = requestId == null ? "" : requestId;
    }

    /** Writes a line on a step that went well, or keeps it in case the request fails. */
    public void logSuccess(LogLine line) {
        if (!line.writeSampled(requestId)) {
            sampledOutLines.add(line);
        }
    }

    /** Writes a line on a failure, and before it what was left out of the request so far. */
    public void logFailure(LogLine line) {
        sampledOutLines.forEach(LogLine::write);
        sampledOutLines.clear();
        line.write();
    }
}
