package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.elmline.core.common.BackendServerId;
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
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * One call of a caller, from the last byte of its request to the last byte of its answer: requests a place, sends the
 * call, sends it again where that is allowed, and answers. Used on the I/O thread only.
 */
final class Call implements OpenCall, CallPlacement.Listener {
    /** Remaining time below which no request is sent: less than any server needs to answer. */
    private static final long MIN_SEND_MILLIS = 5;

    /** Shortest time after which a place is requested again while a silent server goes on with the call. */
    private static final long MIN_SEARCH_INTERVAL_MILLIS = 250;

    /** Retry-After after a failure that ended the last allowed attempt of a call without running it. */
    private static final long RETRY_AFTER_MILLIS = 120;

    private final GatewayContext context;
    private final HttpServerExchange exchange;
    private final CallHead head;
    private final CallRoute route;
    private final OrganisationId organisation;
    private final int priority;
    private final ServiceName service;
    private final CallMemory memory;
    private final CallTimes times;
    private final CallerDisconnectDetector disconnectDetector;
    private final CallLog callLog;
    private final AttemptHistory history;
    private final CallQuarantine quarantine;
    private final CallPlacement placement;
    private final OpenAttempts attempts = new OpenAttempts();
    private final XnioExecutor.Key deadlineTimer;
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
        this.times = CallTimes.of(context.clock(), receivedAtNanos, head.deadlineMillis(), route.timeoutMillis());
        this.history = new AttemptHistory(route.maxAttempts());
        this.quarantine =
                new CallQuarantine(context, service, new CallParts(exchange, head, memory.body()), this::mayHaveRun);
        this.disconnectDetector = new CallerDisconnectDetector(exchange);
        this.callLog = new CallLog(context, head, route, times);
        this.placement = new CallPlacement(context, quarantine, callLog.lines(), this);
        this.deadlineTimer =
                context.thread().executeAfter(this::onDeadline, Math.max(1, remainingMillis()), TimeUnit.MILLISECONDS);
        memory.beginCall(() -> endBy("the caller reads nothing and its memory is needed", RETRY_AFTER_MILLIS));
        context.openCalls().add(this);
    }

    void start() {
        placement.search();
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

    OpenAttempts attempts() {
        return attempts;
    }

    OrganisationId organisation() {
        return organisation;
    }

    @Override
    public long remainingMillis() {
        return times.remainingMillis();
    }

    /** Id of the last event that the caller has received; negative without one. */
    long lastEventId() {
        return stream == null ? head.lastEventId() : Math.max(head.lastEventId(), stream.lastEventId());
    }

    /** The stream to the caller, with the head of the first server that has something for it; until then only one runs it. */
    StreamForwarder stream(int status, HeaderMap headers) {
        if (!hasBegunStream()) {
            stream = new StreamForwarder(this, status, headers);
        }
        return stream;
    }

    @Override
    public LogLine line(String event) {
        return callLog.line(event);
    }

    @Override
    public DispatchCall newRequest() {
        long answerTokens = head.expectedAnswerTokens() > 0 ? head.expectedAnswerTokens() : head.maxAnswerTokens();
        return new DispatchCall(
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
                route.aimMillis() - times.elapsedMillis(),
                route.gapMillis(),
                firstEventRemainingMillis(),
                remainingMillis(),
                history.reachedServer() || attempts.mayHaveRun(),
                history.triedServers());
    }

    @Override
    public boolean expires() {
        return route.isStreaming();
    }

    boolean isEnded() {
        return ended;
    }

    @Override
    public long firstEventRemainingMillis() {
        long sinceReceivedMillis = hasBegunStream() ? 0 : times.elapsedMillis();
        return route.isStreaming()
                ? Math.min(remainingMillis(), route.eventTimeoutMillis() - sinceReceivedMillis)
                : remainingMillis();
    }

    /** Ends the call unless a server that is silent may still answer it. */
    @Override
    public void onNoPlace(String why, long retryAfterMillis) {
        if (attempts.isEmpty()) {
            fail(why, retryAfterMillis);
        } else {
            attempts.forEach(each -> each.checkAgainAfter(Math.max(retryAfterMillis, MIN_SEARCH_INTERVAL_MILLIS)));
        }
    }

    @Override
    public void onGranted(DispatchCall request, DispatchAnswer.Granted granted) {
        Registration server = context.deployment().server(granted.server());
        boolean serverLeft = server != null && !server.state().acceptsWork();
        if (!context.backends().gate().acceptsGrant(granted, service)) {
            context.dispatchClient().reportEnd(request, AttemptEnd.NOT_SENT_HERE);
            retryOrFail("a server accepts no requests now", true);
            return;
        }
        if (isNew() && !context.shutdown().canFinish(route, granted.firstMillis())) {
            context.dispatchClient().reportEnd(request, AttemptEnd.NOT_SENT_HERE);
            abort();
            return;
        }
        boolean tooLate = serverLeft || remainingMillis() < MIN_SEND_MILLIS;
        if (tooLate || !context.coldSends().tryPass(service, granted)) {
            context.dispatchClient().reportEnd(request, AttemptEnd.NOT_SENT_HERE);
            history.addTried(granted.server());
            retryOrFail(serverLeft ? "server left" : "no time or share left", true);
            return;
        }
        callLog.placed(request, granted);
        context.callMetrics().recordPlacement(service, times.elapsedMillis());
        history.recordSend(granted.server());
        latestAttempt = new Attempt(this, quarantine.parts(), request, granted);
        attempts.add(latestAttempt);
        if (route.isStreaming() && !hasBegunStream()) {
            // Its engines' memory and slots are worth more than a prompt that is late and of which nothing has come.
            cancelOthers(latestAttempt);
        }
        latestAttempt.start();
    }

    /** Searches another place for a call whose servers are all silent; they go on meanwhile. */
    void onAttemptSilent(Attempt silent) {
        if (ended || placement.isSearching() || !attempts.areAllSilent()) {
            return;
        }
        context.callMetrics().recordAttemptFailure(service, AttemptEnd.SILENT.name());
        callLog.lines().logFailure(AnswerEndLog.addTo(line("server silent"), context, silent, stream));
        placement.search();
    }

    /** Ends all other attempts, and the search for another place: this one has something for the caller. */
    void onAnswering(Attempt answering) {
        if (attempts.hasOnly(answering) && !placement.isSearching()) {
            return;
        }
        placement.withdraw();
        cancelOthers(answering);
    }

    private void cancelOthers(Attempt kept) {
        for (Attempt each : attempts.cancelOthers(kept)) {
            history.recordCancelled(each);
            memory.dropAnswer(each.bufferedBody());
            if (kept != null) {
                callLog.lines()
                        .logSuccess(line("attempt replaced")
                                .with("server", each.server())
                                .with("by", kept.server()));
            }
        }
    }

    /** Whether the caller may have part of a stream, so that nothing but its rest can be sent. */
    boolean hasBegunStream() {
        return stream != null && stream.hasBegun();
    }

    /** Whether another server runs the call, or may be sent it. */
    boolean hasAlternative(Attempt attempt) {
        return mayRetry() || !attempts.hasOnly(attempt);
    }

    /**
     * Handles the end of an attempt that gave no answer for the caller.
     *
     * @param faultyHelper the helper because of which the server refused the call, null without one
     */
    void onAttemptFailed(Attempt failed, String why, BackendServerId faultyHelper) {
        attempts.remove(failed);
        memory.dropAnswer(failed.bufferedBody());
        memory.setPartialEvent(attempts.partialEventBytes());
        context.callMetrics().recordAttemptFailure(service, failed.end().name());
        LogLine line = line("attempt failed")
                .with("end", failed.end())
                .with("why", why)
                .with("lastEvent", stream == null ? -1 : stream.lastEventId())
                .with("parts", head.sharedParts())
                .with("faultyHelper", faultyHelper);
        callLog.lines().logFailure(AnswerEndLog.addTo(failed.addRefusalTo(line), context, failed, stream));
        history.recordFailure(failed.server(), failed.end(), faultyHelper);
        retryOrFail(why, !failed.end().mayHaveRun());
    }

    /** Handles an error answered by a server when another one runs the call, or may be sent it. */
    void onServerError(Attempt failed, int status, HeaderMap headers, ByteChunks bytes) {
        memory.keepServerError();
        serverFailure = new ServerFailure(status, headers, bytes);
        onAttemptFailed(failed, "answered " + status, null);
    }

    /** Whether the route allows another send of a call that may have run. */
    boolean mayRetry() {
        return route.mayRetry() && hasSendsLeft();
    }

    private boolean hasSendsLeft() {
        return history.hasSendsLeft() && remainingMillis() >= MIN_SEND_MILLIS;
    }

    private boolean mayHaveRun() {
        return history.mayHaveRun() || attempts.mayHaveRun();
    }

    private void retryOrFail(String why, boolean notRun) {
        if (ended || placement.isSearching() || !attempts.areAllSilent()) {
            return;
        }
        boolean allowed = (notRun && !mayHaveRun()) || route.mayRetry();
        if (allowed && hasSendsLeft()) {
            placement.search();
        } else if (attempts.isEmpty()) {
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
        if (hasBegunStream()) {
            logEnd(line("stream broken off").with("why", why).with("lastEvent", stream.lastEventId()));
            // First, as the end of the caller's channel would otherwise be handled as that of a complete stream.
            finish("broken_off");
            stream.abort();
            return;
        }
        if (serverFailure != null) {
            // A server's error is more useful to the caller than the fact that no other server was available.
            answer(latestAttempt, serverFailure.status(), serverFailure.headers(), serverFailure.body());
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
        // First, as a call whose answer can't be sent must not stay open.
        finish("refused_" + status);
        if (!mayHaveRun) {
            context.protocol().setRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        }
        Refusals.send(exchange, status, why, mayHaveRun);
    }

    private void logEnd(LogLine line) {
        callLog.lines().logFailure(AnswerEndLog.addTo(line, context, latestAttempt, stream));
    }

    /** Handles a server's complete answer. */
    void onAnswer(Attempt answering, int status, HeaderMap headers, ByteChunks bytes) {
        if (ended) {
            return;
        }
        attempts.remove(answering);
        if (hasBegunStream()) {
            // No other answer can follow the head of a stream; the caller would wait until its deadline.
            retryOrFail("answered " + status + " in place of the rest of a stream", false);
            return;
        }
        answer(answering, status, headers, bytes);
    }

    private void answer(Attempt answering, int status, HeaderMap headers, ByteChunks bytes) {
        callLog.answered(answering, status, bytes.length(), history.sends());
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
        callLog.streamed(latestAnswering(), stream, history.sends());
        context.callMetrics().recordFirstEvent(service, times.elapsedMillisAt(stream.firstEventAtMillis()));
        finish("streamed");
    }

    /** Handles a caller that has closed its connection: cancels what is in flight. */
    void onCallerDisconnected() {
        if (ended) {
            return;
        }
        callLog.lines()
                .logFailure(
                        line("caller left").with("sends", history.sends()).with("placing", placement.isSearching()));
        abandonInFlight();
        IoUtils.safeClose(exchange.getConnection());
        finish("caller_left");
    }

    /** The attempt that sent the last event; the latest one where an empty stream is complete. */
    private Attempt latestAnswering() {
        return stream.source() == null ? latestAttempt : stream.source();
    }

    private void abandonInFlight() {
        placement.withdraw();
        cancelOthers(null);
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
        boolean hasHead = !attempts.haveNoHead();
        boolean waits = placement.isSearching() || (!attempts.isEmpty() && !hasHead);
        if (ended || !waits || !quarantine.mustGiveUp()) {
            return;
        }
        placement.withdraw();
        if (!hasHead) {
            abandonInFlight();
            placement.search();
        }
    }

    private void onDeadline() {
        endBy("time is up", RETRY_AFTER_MILLIS);
    }

    /**
     * A call that is kept beyond its admission would be cut off, or be told at the end of the stop what is known now.
     */
    @Override
    public void checkAdmission() {
        boolean waits = !ended && placement.isSearching();
        if (waits && isNew() && !context.shutdown().admits(route)) {
            abort();
        }
    }

    /** Whether another entry could serve the call as well: no server has been sent it. */
    private boolean isNew() {
        return attempts.isEmpty() && !hasBegunStream() && !history.mayHaveRun();
    }

    /** A stream that its server has ended is left to its caller, who may still read the rest. */
    @Override
    public void abort() {
        if (stream != null && stream.isCompleting()) {
            return;
        }
        endBy("the entry stops", context.retryElsewhereMillis());
    }

    private void endBy(String why, long retryAfterMillis) {
        if (!ended) {
            abandonInFlight();
            fail(why, retryAfterMillis);
        }
    }

    private void finish(String outcome) {
        context.callMetrics().recordEnd(service, outcome, times.elapsedMillis());
        ended = true;
        abandonInFlight();
        deadlineTimer.remove();
        context.openCalls().remove(this);
        memory.endCall();
    }
}
