package org.elmline.daemon.gateway;

import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.LogLine;

/**
 * Adds to the log line of a failed call what shows who ended an answer that had begun: its server or the link to it, the
 * caller, or this entry. Used on the I/O thread only.
 */
final class AnswerEndLog {
    private AnswerEndLog() {}

    /**
     * @param attempt the latest attempt of the call; null without one
     * @param stream the stream to the caller; null without one
     */
    static LogLine addTo(LogLine line, GatewayContext context, Attempt attempt, StreamForwarder stream) {
        line.with("heldBytes", context.memory().account().heldBytes())
                .with(
                        "version",
                        context.deployment().table().map(RoutingTable::version).orElse(-1L))
                .with("versionAgeMs", context.deployment().tableAgeMillis());
        if (stream != null) {
            line.with("sinceEventMs", stream.millisSinceLastEvent()).with("unreadBytes", stream.unreadBytes());
        }
        if (attempt != null) {
            // CANCELLED: this entry ended the answer while its server was at work; no end: the answer goes on.
            line.with("server", attempt.server())
                    .with("relay", attempt.relay())
                    .with("attemptEnd", attempt.end())
                    .with("sinceHeadMs", attempt.millisSinceHead())
                    .with("sinceServerByteMs", attempt.millisSinceLastByte());
        }
        return line;
    }
}
