package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.Shard;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.CallRoute;
import org.elmline.core.routing.RouteMatch;
import org.elmline.daemon.http.ByteChunks;
import org.elmline.daemon.http.CallerDisconnectDetector;
import org.elmline.daemon.log.LogLine;
import org.elmline.daemon.log.SampledRequestLog;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * One call of a caller, from the last byte of its request to the last byte of its answer: requests a place, sends the
 * call, sends it again where that is allowed, and answers. Used on the I/O thread only.
 */
final class Call implements OpenCall {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Remaining time below which no request is sent: less than any server needs to answer. */
    private static final long MIN_SEND_MILLIS = 5;

    /**
     * Time before the caller's time-out at which a call without a place is refused: the transit time of the answer and
     * some tens of that.
     */
    private static final long REFUSAL_MARGIN_MILLIS = 250;

    /**
     * Retry-After when no place was found for seconds: about the time in which half the load of a full deployment ends.
     */
    private static final long NO_PLACE_RETRY_AFTER_MILLIS = 1_000;

    /** Retry-After after a failure that ended the last allowed attempt of a call without running it. */
    private static final long RETRY_AFTER_MILLIS = 120;

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private final CallHead head;
    private final CallRoute route;
    private final OrganisationId organisation;
    private final int priority;
    private final ServiceName service;
    private final CallMemory memory;
    private final long receivedAtNanos;
    private final long deadlineAtNanos;
    private final CallerDisconnectDetector disconnectDetector;
    private final SampledRequestLog requestLog;
    private final AttemptHistory history;
    private final CallQuarantine quarantine;
    private final XnioExecutor.Key deadlineTimer;
    private DispatchCall pendingPlacement;
    private Attempt attempt;
    private Attempt latestAttempt;
    private StreamForwarder stream;
    private ServerFailure serverFailure;
    private boolean ended;

    Call(
            GatewayContext context,
            HttpServerExchange exchange,
            CallHead head,
            RouteMatch.Allowed match,
            CallMemory memory,
            long receivedAtNanos,
            double randomFraction) {
        this.context = context;
        this.exchange = exchange;
        this.head = head;
        this.route = match.route();
        this.organisation = match.caller() == null ? null : match.caller().organisation();
        this.priority = match.priority();
        this.service = route.chooseService(randomFraction);
        this.memory = memory;
        this.receivedAtNanos = receivedAtNanos;
        long timeoutMillis = head.deadlineMillis() < 0
                ? route.timeoutMillis()
                : Math.min(head.deadlineMillis(), route.timeoutMillis());
        this.deadlineAtNanos = receivedAtNanos + timeoutMillis * NANOS_PER_MILLI;
        this.history = new AttemptHistory(route.maxAttempts());
        this.quarantine = new CallQuarantine(context, service, new CallParts(exchange, head, memory.body()), history);
        this.disconnectDetector = new CallerDisconnectDetector(exchange);
        this.requestLog = new SampledRequestLog(head.requestId());
        this.deadlineTimer =
                context.thread().executeAfter(this::onDeadline, Math.max(1, remainingMillis()), TimeUnit.MILLISECONDS);
        memory.beginCall(() -> endBy("the caller reads nothing and its memory is needed"));
        context.openCalls().add(this);
    }

    void start() {
        place();
    }

    GatewayContext context() {
        return context;
    }

    HttpServerExchange exchange() {
        return exchange;
    }

    CallHead head() {
        return head;
    }

    CallRoute route() {
        return route;
    }

    CallMemory memory() {
        return memory;
    }

    OrganisationId organisation() {
        return organisation;
    }

    long remainingMillis() {
        return (deadlineAtNanos - context.clock().nanos()) / NANOS_PER_MILLI;
    }

    private long elapsedMillis() {
        return (context.clock().nanos() - receivedAtNanos) / NANOS_PER_MILLI;
    }

    /** Id of the last event that the caller has received; negative without one. */
    long lastEventId() {
        return stream == null ? head.lastEventId() : Math.max(head.lastEventId(), stream.lastEventId());
    }

    /** The stream to the caller, opened by the first server's answer. */
    StreamForwarder stream(int status, HeaderMap headers) {
        if (stream == null) {
            stream = new StreamForwarder(this, status, headers);
        }
        return stream;
    }

    LogLine line(String event) {
        return context.log()
                .line(event)
                .with("request", head.requestId())
                .with("route", route.name())
                .with("ageMs", elapsedMillis());
    }

    private void place() {
        quarantine.admit(this::requestPlace, this::fail, this::firstEventRemainingMillis);
    }

    private void requestPlace() {
        if (ended) {
            return;
        }
        long firstEventMillis = firstEventRemainingMillis();
        long answerTokens = head.expectedAnswerTokens() > 0 ? head.expectedAnswerTokens() : head.maxAnswerTokens();
        pendingPlacement = new DispatchCall(
                context.attemptIds().nextId(),
                context.settings().host(),
                context.incarnation(),
                context.settings().failureDomain(),
                service,
                Shard.WHOLE,
                priority,
                head.promptTokens(),
                Math.min(answerTokens, Math.max(1, head.maxAnswerTokens())),
                head.maxAnswerTokens(),
                route.aimMillis() - elapsedMillis(),
                route.gapMillis(),
                firstEventMillis,
                remainingMillis(),
                history.reachedServer(),
                history.triedServers());
        DispatchCall request = pendingPlacement;
        if (route.isStreaming()) {
            context.thread()
                    .executeAfter(
                            () -> expirePlacement(request),
                            Math.max(1, firstEventMillis - REFUSAL_MARGIN_MILLIS),
                            TimeUnit.MILLISECONDS);
        }
        context.dispatchClient().place(request, answer -> onPlacementDecided(request, answer));
    }

    boolean isEnded() {
        return ended;
    }

    /** Time until the caller closes a stream without events; for other calls, time until the deadline. */
    private long firstEventRemainingMillis() {
        long sinceReceivedMillis = stream == null ? elapsedMillis() : 0;
        return route.isStreaming()
                ? Math.min(remainingMillis(), route.eventTimeoutMillis() - sinceReceivedMillis)
                : remainingMillis();
    }

    /**
     * Refuses a call that has no place shortly before its caller's time-out, so that the caller gets a Retry-After
     * rather than a time-out.
     */
    private void expirePlacement(DispatchCall request) {
        if (ended || pendingPlacement != request) {
            return;
        }
        cancelInFlight();
        fail("no place in time", NO_PLACE_RETRY_AFTER_MILLIS);
    }

    private void onPlacementDecided(DispatchCall request, DispatchAnswer answer) {
        if (ended || request != pendingPlacement) {
            // Sent now, it would run after its caller was told that it did not.
            context.dispatchClient().reportEnd(request, AttemptEnd.CANCELLED);
            return;
        }
        pendingPlacement = null;
        if (answer instanceof DispatchAnswer.Granted granted) {
            send(request, granted);
            return;
        }
        DispatchAnswer.Refused refused = (DispatchAnswer.Refused) answer;
        requestLog.logFailure(line("not placed")
                .with("attempt", request.attempt())
                .with("why", refused.why())
                .with("service", service)
                .with("leftMs", remainingMillis())
                .with("retryAfterMs", refused.retryAfterMillis()));
        fail(refused.why().name(), retryAfterMillis(refused));
    }

    /** A backoff that the servers requested from this entry does not hold for the others. */
    private long retryAfterMillis(DispatchAnswer.Refused refused) {
        return refused.why() != DispatchAnswer.RefusalCause.NO_SERVER
                        || context.deployment().hasOtherServingEntry()
                ? refused.retryAfterMillis()
                : Math.max(refused.retryAfterMillis(), context.backends().gate().shortestBackoffMillis(service));
    }

    private void send(DispatchCall request, DispatchAnswer.Granted granted) {
        Registration server = context.deployment().server(granted.server());
        boolean serverLeft = server != null && !server.state().acceptsWork();
        if (!context.backends().gate().acceptsGrant(granted, service)) {
            context.dispatchClient().reportEnd(request, AttemptEnd.NOT_SENT_HERE);
            retryOrFail("a server accepts no requests now", true);
            return;
        }
        boolean tooLate = serverLeft || remainingMillis() < MIN_SEND_MILLIS;
        if (tooLate || !context.coldSends().tryPass(service, granted)) {
            context.dispatchClient().reportEnd(request, AttemptEnd.NOT_SENT_HERE);
            history.addTried(granted.server());
            retryOrFail(serverLeft ? "server left" : "no time or share left", true);
            return;
        }
        requestLog.logSuccess(line("placed")
                .with("attempt", request.attempt())
                .with("server", granted.server())
                .with("helpers", granted.helpers().size())
                .with("promptTokens", head.promptTokens())
                .with("predictedFirstMs", granted.firstMillis())
                .with("backlogMs", granted.backlogMillis())
                .with("running", granted.running())
                .with("limited", context.observedLimits().isLimited(granted.server()))
                .with("leftMs", remainingMillis()));
        context.callMetrics().recordPlacement(service, elapsedMillis());
        history.recordSend(granted.server());
        attempt = new Attempt(this, quarantine.parts(), request, granted);
        latestAttempt = attempt;
        attempt.start();
    }

    /**
     * Handles the end of an attempt that gave no answer for the caller.
     *
     * @param faultyHelper the helper because of which the server refused the call, null without one
     */
    void onAttemptFailed(AttemptEnd end, String why, BackendServerId faultyHelper) {
        attempt = null;
        memory.dropAnswer();
        context.callMetrics().recordAttemptFailure(service, end.name());
        logEnd(line("attempt failed")
                .with("end", end)
                .with("why", why)
                .with("lastEvent", stream == null ? -1 : stream.lastEventId())
                .with("parts", head.sharedParts())
                .with("faultyHelper", faultyHelper));
        history.recordFailure(end, faultyHelper);
        retryOrFail(why, !end.mayHaveRun());
    }

    /** Handles an error answered by a server when the call may run once more. */
    void onServerError(int status, HeaderMap headers, ByteChunks bytes) {
        memory.keepServerError();
        serverFailure = new ServerFailure(status, headers, bytes);
        onAttemptFailed(AttemptEnd.SERVER_ERROR, "answered " + status, null);
    }

    /** The entry that forwards the attempt under way; null without one. */
    private HostId relay() {
        return attempt == null ? null : attempt.relay();
    }

    /** Whether the route allows another send of a call that may have run. */
    boolean mayRetry() {
        return route.mayRetry() && hasSendsLeft();
    }

    private boolean hasSendsLeft() {
        return history.hasSendsLeft() && remainingMillis() >= MIN_SEND_MILLIS;
    }

    private void retryOrFail(String why, boolean notRun) {
        if (ended) {
            return;
        }
        boolean allowed = (notRun && !history.mayHaveRun()) || route.mayRetry();
        if (allowed && hasSendsLeft()) {
            place();
        } else {
            fail(why, RETRY_AFTER_MILLIS);
        }
    }

    /**
     * Ends the call without a server's answer. The response states that the call did not run only if that
     * is certain.
     */
    private void fail(String why, long retryAfterMillis) {
        if (ended) {
            return;
        }
        if (stream != null) {
            logEnd(line("stream broken off").with("why", why).with("lastEvent", stream.lastEventId()));
            // First, as the end of the caller's channel would otherwise be handled as that of a complete stream.
            finish("broken_off");
            stream.abort();
            return;
        }
        if (serverFailure != null) {
            // A server's error is more useful to the caller than the fact that no other server was available.
            answer(serverFailure.status(), serverFailure.headers(), serverFailure.body());
            return;
        }
        boolean pastDeadline = remainingMillis() < MIN_SEND_MILLIS;
        boolean mayHaveRun = history.mayHaveRun();
        int status = mayHaveRun ? (pastDeadline ? 504 : 502) : 503;
        logEnd(line("refused")
                .with("status", status)
                .with("why", why)
                .with("mayHaveRun", mayHaveRun)
                .with("sends", history.sends())
                .with("leftMs", remainingMillis()));
        if (!mayHaveRun) {
            context.protocol().setRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        }
        Refusals.send(exchange, status, why, mayHaveRun);
        finish("refused_" + status);
    }

    private void logEnd(LogLine line) {
        requestLog.logFailure(AnswerEndLog.addTo(line, context, latestAttempt, stream));
    }

    /** Sends a server's complete answer to the caller. */
    void answer(int status, HeaderMap headers, ByteChunks bytes) {
        if (ended) {
            return;
        }
        if (stream != null) {
            // No other answer can follow the head of a stream; the caller would wait until its deadline.
            attempt = null;
            retryOrFail("answered " + status + " in place of the rest of a stream", false);
            return;
        }
        LogLine line = line("answered")
                .with("status", status)
                .with("bytes", bytes.length())
                .with("server", history.lastTriedServer())
                .with("relay", relay())
                .with("sends", history.sends());
        if (status >= MIN_SERVER_ERROR_STATUS) {
            requestLog.logFailure(line);
        } else {
            requestLog.logSuccess(line);
        }
        exchange.setStatusCode(status);
        HeaderMap responseHeaders = exchange.getResponseHeaders();
        context.protocol().copyAnswerHeaders(headers, responseHeaders);
        memory.send(bytes, () -> finish("answered"));
    }

    /** Handles the end of a complete stream: its last byte was written, or the connection failed before that. */
    void onStreamComplete() {
        if (ended) {
            return;
        }
        requestLog.logSuccess(line("streamed")
                .with("lastEvent", stream.lastEventId())
                .with("firstMs", stream.firstEventAtMillis() - receivedAtNanos / NANOS_PER_MILLI)
                .with("longestPauseMs", stream.longestPauseMillis())
                .with("server", history.lastTriedServer())
                .with("relay", relay())
                .with("sends", history.sends()));
        context.callMetrics()
                .recordFirstEvent(service, stream.firstEventAtMillis() - receivedAtNanos / NANOS_PER_MILLI);
        finish("streamed");
    }

    /** Handles a caller that has closed its connection: cancels what is in flight. */
    void onCallerDisconnected() {
        if (ended) {
            return;
        }
        requestLog.logFailure(
                line("caller left").with("sends", history.sends()).with("placing", pendingPlacement != null));
        cancelInFlight();
        IoUtils.safeClose(exchange.getConnection());
        finish("caller_left");
    }

    /** Cancels what is in flight of a call that is then answered by this entry. */
    private void abandonInFlight() {
        if (attempt != null) {
            history.recordAbandoned(attempt);
        }
        cancelInFlight();
    }

    private void cancelInFlight() {
        if (pendingPlacement != null) {
            context.dispatchClient().withdraw(pendingPlacement);
            pendingPlacement = null;
        }
        if (attempt != null) {
            attempt.cancel(AttemptEnd.CANCELLED);
            attempt = null;
            memory.dropAnswer();
        }
    }

    @Override
    public void checkCaller() {
        if (ended) {
            return;
        }
        try {
            disconnectDetector.checkConnected();
        } catch (IOException e) {
            onCallerDisconnected();
        }
    }

    @Override
    public void checkQuarantine() {
        boolean waits = pendingPlacement != null || (attempt != null && attempt.hasNoHead());
        if (ended || !waits || !quarantine.mustGiveUp()) {
            return;
        }
        abandonInFlight();
        place();
    }

    private void onDeadline() {
        endBy("time is up");
    }

    @Override
    public void abort() {
        endBy("the entry stops");
    }

    private void endBy(String why) {
        if (!ended) {
            abandonInFlight();
            fail(why, RETRY_AFTER_MILLIS);
        }
    }

    private void finish(String outcome) {
        context.callMetrics().recordEnd(service, outcome, elapsedMillis());
        ended = true;
        quarantine.end();
        deadlineTimer.remove();
        context.openCalls().remove(this);
        memory.endCall();
    }
}
