package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
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
import org.elmline.daemon.http.CallerPresence;
import org.elmline.daemon.log.Line;
import org.elmline.daemon.log.RequestLines;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * One call from a caller, from its last byte read to its last byte answered: placed, sent, sent again where that is
 * allowed, and answered. Used on the I/O thread only.
 */
final class Call {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Tries that reached no server, or that a server turned down, beyond the sends that a route allows. */
    private static final int MAX_FRUITLESS = 3;

    /** Time left below which nothing is sent any more: less than any server needs to answer. */
    private static final long LEAST_MILLIS = 5;

    /** Time before a caller's patience ends at which it is told to come back; the answer's way and some tens of it. */
    private static final long ANSWER_MILLIS = 250;

    /** When to come back where no place was found for seconds: about the time in which a full house empties by half. */
    private static final long COME_BACK_MILLIS = 1_000;

    /** When to come back after a failure that ended the call's last allowed try unrun. */
    private static final long RETRY_MILLIS = 120;

    private static final int SERVER_ERROR = 500;

    private final GatewayParts parts;
    private final HttpServerExchange exchange;
    private final CallHead head;
    private final CallRoute route;
    private final OrganisationId organisation;
    private final int priority;
    private final ServiceName service;
    private final byte[] body;
    private final long receivedAt;
    private final long deadlineAt;
    private final CallerPresence presence;
    private final RequestLines lines;
    private final List<BackendServerId> tried = new ArrayList<>();
    private final XnioExecutor.Key deadline;
    private DispatchCall placing;
    private Attempt attempt;
    private StreamAnswer stream;
    private ServerFailure serverFailure;
    private int sends;
    private int fruitless;
    private boolean mayHaveRun;
    private boolean over;

    /** A server's own failure, kept while the call is tried elsewhere. */
    private record ServerFailure(int status, HeaderMap headers, ByteArrayOutputStream bytes) {}

    Call(
            GatewayParts parts,
            HttpServerExchange exchange,
            CallHead head,
            RouteMatch.Allowed match,
            byte[] body,
            long receivedAt,
            double draw) {
        this.parts = parts;
        this.exchange = exchange;
        this.head = head;
        this.route = match.route();
        this.organisation = match.caller() == null ? null : match.caller().organisation();
        this.priority = match.priority();
        this.service = route.chooseService(draw);
        this.body = body;
        this.receivedAt = receivedAt;
        long waits = head.deadlineMillis() < 0
                ? route.timeoutMillis()
                : Math.min(head.deadlineMillis(), route.timeoutMillis());
        this.deadlineAt = receivedAt + waits * NANOS_PER_MILLI;
        this.presence = new CallerPresence(exchange);
        this.lines = new RequestLines(head.requestId());
        this.deadline = parts.thread().executeAfter(this::expire, Math.max(1, leftMillis()), TimeUnit.MILLISECONDS);
        parts.open().add(this);
    }

    void start() {
        place(false);
    }

    GatewayParts parts() {
        return parts;
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

    byte[] body() {
        return body;
    }

    OrganisationId organisation() {
        return organisation;
    }

    long leftMillis() {
        return (deadlineAt - parts.clock().nanos()) / NANOS_PER_MILLI;
    }

    private long ageMillis() {
        return (parts.clock().nanos() - receivedAt) / NANOS_PER_MILLI;
    }

    /** Number of the last event that the caller has. */
    long afterEvent() {
        return stream == null ? head.afterEvent() : Math.max(head.afterEvent(), stream.lastEvent());
    }

    /** The stream to the caller, begun by the first server's answer. */
    StreamAnswer stream(int status, HeaderMap headers) {
        if (stream == null) {
            stream = new StreamAnswer(this, status, headers);
        }
        return stream;
    }

    Line line(String event) {
        return parts.log()
                .line(event)
                .with("request", head.requestId())
                .with("route", route.name())
                .with("ageMs", ageMillis());
    }

    private void place(boolean repeated) {
        long patience = patienceLeftMillis();
        long answerTokens = head.expectedAnswerTokens() > 0 ? head.expectedAnswerTokens() : head.maxAnswerTokens();
        placing = new DispatchCall(
                parts.ids().next(),
                parts.settings().host(),
                parts.incarnation(),
                parts.settings().failureDomain(),
                service,
                Shard.WHOLE,
                priority,
                head.promptTokens(),
                Math.min(answerTokens, Math.max(1, head.maxAnswerTokens())),
                head.maxAnswerTokens(),
                route.aimMillis() - ageMillis(),
                route.gapMillis(),
                patience,
                leftMillis(),
                repeated,
                tried);
        DispatchCall asked = placing;
        if (route.isStreaming()) {
            parts.thread()
                    .executeAfter(() -> tire(asked), Math.max(1, patience - ANSWER_MILLIS), TimeUnit.MILLISECONDS);
        }
        parts.dispatch().place(asked, answer -> placed(asked, answer));
    }

    /** Time left until a caller leaves a stream that stays silent; that of any other call ends with its deadline. */
    private long patienceLeftMillis() {
        long sinceRead = stream == null ? ageMillis() : 0;
        return route.isStreaming() ? Math.min(leftMillis(), route.eventTimeoutMillis() - sinceRead) : leftMillis();
    }

    /** No place has come while the caller still waits: it is told when to come back rather than left to give up. */
    private void tire(DispatchCall asked) {
        if (over || placing != asked) {
            return;
        }
        stop();
        giveUp("no place in time", COME_BACK_MILLIS);
    }

    private void placed(DispatchCall asked, DispatchAnswer answer) {
        placing = null;
        if (answer instanceof DispatchAnswer.Granted granted) {
            send(asked, granted);
            return;
        }
        DispatchAnswer.Refused refused = (DispatchAnswer.Refused) answer;
        lines.failure(line("not placed")
                .with("attempt", asked.attempt())
                .with("why", refused.why())
                .with("service", service)
                .with("leftMs", leftMillis())
                .with("retryAfterMs", refused.retryAfterMillis()));
        giveUp(refused.why().name(), refused.retryAfterMillis());
    }

    private void send(DispatchCall asked, DispatchAnswer.Granted granted) {
        Registration server = parts.fleet().server(granted.server());
        boolean left = server != null && !server.state().acceptsWork();
        if (left || leftMillis() < LEAST_MILLIS) {
            parts.dispatch().end(asked, AttemptEnd.CANCELLED);
            tried.add(granted.server());
            retry(left ? "server left" : "no time left", true);
            return;
        }
        lines.success(line("placed")
                .with("attempt", asked.attempt())
                .with("server", granted.server())
                .with("helpers", granted.helpers().size())
                .with("promptTokens", head.promptTokens())
                .with("predictedFirstMs", granted.firstMillis())
                .with("backlogMs", granted.backlogMillis())
                .with("running", granted.running())
                .with("limited", parts.limits().isLimited(granted.server()))
                .with("leftMs", leftMillis()));
        parts.callMetrics().placed(service, ageMillis());
        tried.add(granted.server());
        sends++;
        attempt = new Attempt(this, asked, granted);
        attempt.start();
    }

    /** An attempt has ended without an answer for the caller. */
    void failed(AttemptEnd end, String why) {
        attempt = null;
        boolean ran = end.mayHaveRun();
        mayHaveRun |= ran;
        if (!ran) {
            sends--;
            fruitless++;
        }
        parts.callMetrics().attemptFailed(service, end.name());
        lines.failure(line("attempt failed").with("end", end).with("why", why).with("server", lastTried()));
        retry(why, !ran);
    }

    /** A server has answered with a failure of its own, and the call may run once more. */
    void serverFailed(int status, HeaderMap headers, ByteArrayOutputStream bytes) {
        serverFailure = new ServerFailure(status, headers, bytes);
        failed(AttemptEnd.SERVER_ERROR, "answered " + status);
    }

    private BackendServerId lastTried() {
        return tried.isEmpty() ? null : tried.get(tried.size() - 1);
    }

    /** Whether the route allows another send of a call that may have run. */
    boolean mayTryAgain() {
        return route.mayRetry() && sendsLeft();
    }

    private boolean sendsLeft() {
        return sends < Math.max(1, route.maxAttempts()) && fruitless <= MAX_FRUITLESS && leftMillis() >= LEAST_MILLIS;
    }

    private void retry(String why, boolean unrun) {
        if (over) {
            return;
        }
        boolean allowed = (unrun && !mayHaveRun) || route.mayRetry();
        if (allowed && sendsLeft()) {
            place(true);
        } else {
            giveUp(why, RETRY_MILLIS);
        }
    }

    /** Ends the call without a server's answer; says that it didn't run only where that is sure. */
    private void giveUp(String why, long retryAfterMillis) {
        if (over) {
            return;
        }
        if (stream != null) {
            lines.failure(line("stream broken off").with("why", why).with("lastEvent", stream.lastEvent()));
            // Ended first: the end of the caller's channel would else be taken for that of a whole stream.
            end("broken_off");
            stream.abort();
            return;
        }
        if (serverFailure != null) {
            // What a server said tells the caller more than that no other one could be asked.
            answer(serverFailure.status(), serverFailure.headers(), serverFailure.bytes());
            return;
        }
        boolean late = leftMillis() < LEAST_MILLIS;
        int status = mayHaveRun ? (late ? 504 : 502) : 503;
        lines.failure(line("refused")
                .with("status", status)
                .with("why", why)
                .with("mayHaveRun", mayHaveRun)
                .with("sends", sends)
                .with("leftMs", leftMillis()));
        if (!mayHaveRun) {
            parts.protocol().retryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        }
        Refusals.send(exchange, status, why, mayHaveRun);
        end("refused_" + status);
    }

    /** Answers with a server's whole answer. */
    void answer(int status, HeaderMap headers, ByteArrayOutputStream bytes) {
        if (over) {
            return;
        }
        if (stream != null) {
            // No other answer can follow the head of a stream; the caller would wait until its time is up.
            attempt = null;
            retry("answered " + status + " in place of the rest of a stream", false);
            return;
        }
        Line line = line("answered")
                .with("status", status)
                .with("bytes", bytes.size())
                .with("server", lastTried())
                .with("sends", sends);
        if (status >= SERVER_ERROR) {
            lines.failure(line);
        } else {
            lines.success(line);
        }
        exchange.setStatusCode(status);
        HeaderMap own = exchange.getResponseHeaders();
        parts.protocol().back(headers, own);
        end("answered");
        if (bytes.size() == 0) {
            own.put(Headers.CONTENT_LENGTH, 0);
            exchange.endExchange();
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes.toByteArray()));
    }

    /** The whole stream is on its way to the caller. */
    void streamed() {
        if (over) {
            return;
        }
        lines.success(line("streamed")
                .with("lastEvent", stream.lastEvent())
                .with("firstMs", stream.firstAtMillis() - receivedAt / NANOS_PER_MILLI)
                .with("longestPauseMs", stream.longestPauseMillis())
                .with("server", lastTried())
                .with("sends", sends));
        parts.callMetrics().firstEvent(service, stream.firstAtMillis() - receivedAt / NANOS_PER_MILLI);
        end("streamed");
    }

    /** The caller does not take the answer any more. */
    void callerGone() {
        if (over) {
            return;
        }
        lines.failure(line("caller left").with("sends", sends).with("placing", placing != null));
        stop();
        IoUtils.safeClose(exchange.getConnection());
        end("caller_left");
    }

    private void stop() {
        if (placing != null) {
            parts.dispatch().withdraw(placing);
            placing = null;
        }
        if (attempt != null) {
            attempt.cancel(AttemptEnd.CANCELLED);
            attempt = null;
        }
    }

    void checkCaller() {
        if (over) {
            return;
        }
        try {
            presence.check();
        } catch (IOException e) {
            callerGone();
        }
    }

    private void expire() {
        if (over) {
            return;
        }
        if (attempt != null) {
            mayHaveRun |= attempt.mayHaveRun();
        }
        stop();
        giveUp("time is up", RETRY_MILLIS);
    }

    /** Ends the call because this process ends. */
    void abort() {
        if (over) {
            return;
        }
        if (attempt != null) {
            mayHaveRun |= attempt.mayHaveRun();
        }
        stop();
        giveUp("the entry stops", RETRY_MILLIS);
    }

    private void end(String outcome) {
        parts.callMetrics().ended(service, outcome, ageMillis());
        over = true;
        deadline.remove();
        parts.open().remove(this);
    }
}
