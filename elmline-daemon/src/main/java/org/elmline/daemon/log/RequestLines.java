package org.elmline.daemon.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The log lines of one request. Lines on its successes may be left out while there are many; should the request fail
 * later, they are written after all, since they hold the inputs that explain it. Not safe for concurrent use.
 */
public final class RequestLines {
    private final String request;
    private final List<Line> leftOut = new ArrayList<>();

    /** @param request id by which lines are chosen, null for a request without one */
    public RequestLines(String request) {
        this.request = request == null ? "" : request;
    }

    /** Writes a line on a step that went well, or keeps it in case the request fails. */
    public void success(Line line) {
        if (!line.writeSampled(request)) {
            leftOut.add(line);
        }
    }

    /** Writes a line on a failure, and before it what was left out of the request so far. */
    public void failure(Line line) {
        leftOut.forEach(Line::write);
        leftOut.clear();
        line.write();
    }
}
