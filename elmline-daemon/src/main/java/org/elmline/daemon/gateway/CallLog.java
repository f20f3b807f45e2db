package org.elmline.daemon.gateway;

import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.routing.CallRoute;
import org.elmline.daemon.log.LogLine;
import org.elmline.daemon.log.SampledRequestLog;

/** The log lines on one call. Those of a call without a failure are sampled. */
final class CallLog {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final GatewayContext context;
    private final CallHead head;
    private final CallRoute route;
    private final CallTimes times;
    private final SampledRequestLog lines;

    CallLog(GatewayContext context, CallHead head, CallRoute route, CallTimes times) {
        this.context = context;
        this.head = head;
        this.route = route;
        this.times = times;
        this.lines = new SampledRequestLog(head.requestId());
    }

    SampledRequestLog lines() {
        return lines;
    }

    /** Starts a line. */
    LogLine line(String event) {
        return context.log()
                .line(event)
                .with("request", head.requestId())
                .with("route", route.name())
                .with("ageMs", times.elapsedMillis());
    }

    void placed(DispatchCall request, DispatchAnswer.Granted granted) {
        lines.logSuccess(line("placed")
                .with("attempt", request.attempt())
                .with("server", granted.server())
                .with("helpers", granted.helpers().size())
                .with("promptTokens", head.promptTokens())
                .with("predictedFirstMs", granted.firstMillis())
                .with("backlogMs", granted.backlogMillis())
                .with("running", granted.running())
                .with("limited", context.observedLimits().isLimited(granted.server()))
                .with("leftMs", times.remainingMillis()));
    }

    void answered(Attempt answering, int status, long bytes, int sends) {
        LogLine line = line("answered")
                .with("status", status)
                .with("bytes", bytes)
                .with("server", answering.server())
                .with("relay", answering.relay())
                .with("sends", sends);
        if (status >= MIN_SERVER_ERROR_STATUS) {
            lines.logFailure(line);
        } else {
            lines.logSuccess(line);
        }
    }

    void streamed(Attempt answering, StreamForwarder stream, int sends) {
        lines.logSuccess(line("streamed")
                .with("lastEvent", stream.lastEventId())
                .with("firstMs", times.elapsedMillisAt(stream.firstEventAtMillis()))
                .with("longestPauseMs", stream.longestPauseMillis())
                .with("server", answering.server())
                .with("relay", answering.relay())
                .with("sends", sends));
    }
}
