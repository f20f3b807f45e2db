package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.SplittableRandom;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.elmline.core.routing.RouteMatch;
import org.elmline.core.routing.RoutingTable;
import org.xnio.IoUtils;

/** Receives a caller's request: matches its route, reads its body and starts its call. Used on the I/O thread only. */
final class CallHandler implements HttpHandler {
    private static final int NOT_FOUND = 404;
    private static final int UNAUTHENTICATED = 401;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;

    /** Retry-After of an entry without a current routing table: the time for a control host's start and an election. */
    private static final long RETRY_AFTER_MILLIS = 1_500;

    private static final String STOPS = "the entry stops";

    /** Retry-After when the memory for request bodies is full: about the time in which half of the calls end. */
    private static final long FULL_RETRY_AFTER_MILLIS = 500;

    private final GatewayContext context;
    private final RoutingTableWaitQueue tableWaitQueue;
    private final SplittableRandom random = new SplittableRandom();

    CallHandler(GatewayContext context) {
        this.context = context;
        this.tableWaitQueue = new RoutingTableWaitQueue(context.thread());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange));
    }

    private void handle(HttpServerExchange exchange) {
        long receivedAtNanos = context.clock().nanos();
        if (context.shutdown().isStopping()) {
            exchange.setPersistent(false);
        }
        CallHead head;
        try {
            head = context.protocol().read(exchange.getRequestHeaders());
        } catch (IllegalArgumentException e) {
            refuseBeforeBody(exchange, null, BAD_REQUEST, e.getMessage());
            return;
        }
        boolean noTable = context.deployment().table().isEmpty();
        if (noTable || context.deployment().isTableOutdated()) {
            if (context.shutdown().isStopping()) {
                refuseBeforeBody(exchange, head, STOPS, context.retryElsewhereMillis());
                return;
            }
            String why = noTable ? "no routing table yet" : "the routing table is outdated";
            tableWaitQueue.add(
                    head.deadlineMillis(),
                    () -> readBody(exchange, head, receivedAtNanos),
                    () -> refuseBeforeBody(exchange, head, why, RETRY_AFTER_MILLIS));
            return;
        }
        readBody(exchange, head, receivedAtNanos);
    }

    /** To be called after each change of the deployment. Calls that wait for a newer table wait on without one. */
    void onDeploymentChanged() {
        if (!context.deployment().isTableOutdated()) {
            tableWaitQueue.releaseAll();
        }
    }

    /** To be called when the entry begins to stop. Calls without a table are served elsewhere. */
    void onStopping() {
        tableWaitQueue.timeOutAll();
    }

    private void readBody(HttpServerExchange exchange, CallHead head, long receivedAtNanos) {
        CallMemory memory = context.memory().open(exchange, head.requestId());
        BodyIntake.read(
                memory,
                new BodyIntake.StopRule(
                        context.openCalls(),
                        () -> isAdmitted(exchange, head),
                        () -> refuseDuringBody(exchange, head, STOPS, context.retryElsewhereMillis())),
                body -> route(exchange, head, memory, receivedAtNanos),
                failure -> onBodyUnreadable(exchange, head, failure),
                () -> refuseDuringBody(exchange, head, "no memory for the body", FULL_RETRY_AFTER_MILLIS));
    }

    /** Whether a stop still admits a request; one without a route counts as a plain call. */
    private boolean isAdmitted(HttpServerExchange exchange, CallHead head) {
        return context.deployment()
                .table()
                .map(table -> match(table, exchange, head))
                .filter(RouteMatch.Allowed.class::isInstance)
                .map(match -> context.shutdown().admits(((RouteMatch.Allowed) match).route()))
                .orElseGet(() -> context.shutdown().admitsPlainCall());
    }

    private static RouteMatch match(RoutingTable table, HttpServerExchange exchange, CallHead head) {
        return table.match(exchange.getRequestHeaders().getFirst(Headers.HOST), exchange.getRequestURI(), head.key());
    }

    private void route(HttpServerExchange exchange, CallHead head, CallMemory memory, long receivedAtNanos) {
        RoutingTable table = context.deployment().table().orElseThrow();
        RouteMatch match = match(table, exchange, head);
        if (match instanceof RouteMatch.Allowed allowed) {
            if (!context.shutdown().admits(allowed.route())) {
                memory.close();
                refuseWithRetryAfter(exchange, head, STOPS, context.retryElsewhereMillis());
                return;
            }
            new Call(context, exchange, head, allowed, memory, receivedAtNanos, random.nextDouble()).start();
            return;
        }
        memory.close();
        // A newer table that this entry has not received may have the route or key that is missing here.
        if (!context.deployment().isCurrent()) {
            refuseWithRetryAfter(exchange, head, "the routing table may be old", RETRY_AFTER_MILLIS);
            return;
        }
        boolean noRoute = match instanceof RouteMatch.NoRoute;
        refuse(
                exchange,
                head,
                noRoute ? NOT_FOUND : UNAUTHENTICATED,
                noRoute ? "no route leads from here" : "the key opens nothing");
    }

    private void refuseWithRetryAfter(HttpServerExchange exchange, CallHead head, String why, long retryAfterMillis) {
        context.protocol().setRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        refuse(exchange, head, UNAVAILABLE, why);
    }

    /** Refuses a call whose body is being read: the rest of it is discarded, and the connection closed. */
    private void refuseDuringBody(HttpServerExchange exchange, CallHead head, String why, long retryAfterMillis) {
        context.protocol().setRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        logRefusal(head, UNAVAILABLE, why);
        Refusals.sendBeforeBody(exchange, UNAVAILABLE, why);
    }

    private void refuseBeforeBody(HttpServerExchange exchange, CallHead head, String why, long retryAfterMillis) {
        context.protocol().setRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        refuseBeforeBody(exchange, head, UNAVAILABLE, why);
    }

    /** Refuses a call whose body is not read. A connection that ends with the answer is closed after the body only. */
    private void refuseBeforeBody(HttpServerExchange exchange, CallHead head, int status, String why) {
        if (context.shutdown().isStopping() || !exchange.isPersistent()) {
            logRefusal(head, status, why);
            Refusals.sendBeforeBody(exchange, status, why);
        } else {
            refuse(exchange, head, status, why);
        }
    }

    private void refuse(HttpServerExchange exchange, CallHead head, int status, String why) {
        logRefusal(head, status, why);
        Refusals.send(exchange, status, why, false);
    }

    private void logRefusal(CallHead head, int status, String why) {
        context.log()
                .line("turned away")
                .with("request", head == null ? null : head.requestId())
                .with("status", status)
                .with("why", why)
                .with(
                        "version",
                        context.deployment().table().map(RoutingTable::version).orElse(-1L))
                .with("controlCurrent", context.deployment().isCurrent())
                .write();
    }

    private void onBodyUnreadable(HttpServerExchange exchange, CallHead head, IOException failure) {
        if (failure instanceof RequestTooBigException) {
            exchange.setPersistent(false);
            refuse(exchange, head, TOO_LARGE, "the body is too long");
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
