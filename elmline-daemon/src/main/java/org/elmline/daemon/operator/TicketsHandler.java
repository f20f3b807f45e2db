package org.elmline.daemon.operator;

import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.control.Ticket;
import org.elmline.core.control.TicketAnswer;
import org.elmline.core.control.TicketList;
import org.elmline.core.control.TicketListQuery;
import org.elmline.core.control.TicketOutcome;
import org.elmline.core.control.TicketStatus;
import org.elmline.daemon.entry.ControlCalls;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.http.WorkerBodyReader;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** {@code PUT /v1/tickets/{number}}, {@code GET /v1/tickets/{number}} and {@code GET /v1/tickets}. */
public final class TicketsHandler {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int DEFAULT_LIST_LIMIT = 100;
    private static final int MAX_LIST_LIMIT = 1000;

    private final ControlCalls control;
    private final WorkerBodyReader bodyReader;

    public TicketsHandler(ControlCalls control, WorkerBodyReader bodyReader) {
        this.control = control;
        this.bodyReader = bodyReader;
    }

    /** The body of a ticket. The number may be omitted, since the path has it; a different one is rejected. */
    record TicketBody(TicketNumber number, String author, List<ConfigObject> objects) {}

    public void put(HttpServerExchange exchange) {
        Optional<TicketNumber> number = ticketNumber(exchange);
        if (number.isEmpty()) {
            refuseBadRequest(exchange, "a ticket's number is a whole number from 0");
            return;
        }
        bodyReader.read(exchange, body -> submit(exchange, number.get(), body));
    }

    public void show(HttpServerExchange exchange) {
        Optional<TicketNumber> number = ticketNumber(exchange);
        if (number.isEmpty()) {
            refuseBadRequest(exchange, "a ticket's number is a whole number from 0");
            return;
        }
        whenComplete(exchange, control.ticket(number.get()), this::sendAnswer);
    }

    public void list(HttpServerExchange exchange) {
        Optional<Long> limit = queryNumber(exchange, "limit", DEFAULT_LIST_LIMIT);
        Optional<Long> below = queryNumber(exchange, "below", 0);
        if (limit.isEmpty() || below.isEmpty()) {
            refuseBadRequest(exchange, "limit and below are whole numbers from 0");
            return;
        }
        TicketNumber first = below.get() == 0 ? null : TicketNumber.of(below.get());
        int maxTickets = (int) Math.max(1, Math.min(limit.get(), MAX_LIST_LIMIT));
        whenComplete(exchange, control.tickets(new TicketListQuery(first, maxTickets)), TicketsHandler::sendList);
    }

    private void submit(HttpServerExchange exchange, TicketNumber number, byte[] body) {
        Decoded<TicketBody> decoded = Codecs.STRICT_JSON.decode(body, TicketBody.class);
        if (decoded instanceof Decoded.Malformed<TicketBody> malformed) {
            refuseBadRequest(exchange, malformed.reason());
            return;
        }
        TicketBody ticketBody = ((Decoded.Value<TicketBody>) decoded).value();
        if (ticketBody.number() != null && !ticketBody.number().equals(number)) {
            refuseBadRequest(exchange, "the path names ticket " + number + ", the body ticket " + ticketBody.number());
            return;
        }
        Ticket ticket;
        try {
            ticket = new Ticket(number, ticketBody.author(), ticketBody.objects());
        } catch (IllegalArgumentException e) {
            refuseBadRequest(exchange, e.getMessage());
            return;
        }
        whenComplete(exchange, control.submit(ticket), this::sendAnswer);
    }

    private void sendAnswer(HttpServerExchange exchange, CallResult<TicketAnswer> result) {
        if (!(result instanceof CallResult.Answered<TicketAnswer> answered)) {
            refuseUnreachable(exchange, result);
            return;
        }
        if (answered.value() instanceof TicketAnswer.Decided decided) {
            JsonResponses.send(exchange, statusCode(decided.status()), TicketView.of(decided.status()));
        } else if (answered.value() instanceof TicketAnswer.Unknown unknown) {
            JsonResponses.sendRefusal(
                    exchange, Refusal.didNotRun(RefusalReason.NOT_FOUND, "no ticket " + unknown.number() + " is kept"));
        } else {
            JsonResponses.sendRefusal(
                    exchange,
                    new Refusal(
                            RefusalReason.NO_LEADER,
                            "the ticket may have been accepted; send the same ticket again",
                            Ran.UNKNOWN,
                            RETRY_AFTER_MILLIS));
        }
    }

    private static void sendList(HttpServerExchange exchange, CallResult<TicketList> result) {
        if (result instanceof CallResult.Answered<TicketList> answered) {
            JsonResponses.send(exchange, answered.value());
            return;
        }
        refuseUnreachable(exchange, result);
    }

    private static int statusCode(TicketStatus status) {
        return status.outcome() instanceof TicketOutcome.Refused refused
                ? refused.reason().httpStatus()
                : StatusCodes.OK;
    }

    private static void refuseUnreachable(HttpServerExchange exchange, CallResult<?> result) {
        JsonResponses.sendRefusal(
                exchange,
                new Refusal(
                        RefusalReason.NO_LEADER,
                        "no control host answered; sending the same ticket again is safe",
                        result.ran(),
                        RETRY_AFTER_MILLIS));
    }

    private static Optional<TicketNumber> ticketNumber(HttpServerExchange exchange) {
        return queryNumber(exchange, "number", -1).filter(each -> each >= 0).map(TicketNumber::of);
    }

    private static Optional<Long> queryNumber(HttpServerExchange exchange, String name, long defaultValue) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null || values.isEmpty()) {
            return Optional.of(defaultValue);
        }
        try {
            return Optional.of(Long.parseLong(values.getFirst())).filter(each -> each >= 0);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static void refuseBadRequest(HttpServerExchange exchange, String why) {
        JsonResponses.sendRefusal(exchange, Refusal.didNotRun(RefusalReason.BAD_REQUEST, why));
    }

    /** Writes the response once the result is known. */
    private interface ResponseWriter<T> {
        void write(HttpServerExchange exchange, T result);
    }

    private static <T> void whenComplete(
            HttpServerExchange exchange, CompletableFuture<T> result, ResponseWriter<T> writer) {
        exchange.dispatch(Runnable::run, () -> result.thenAccept(value -> writer.write(exchange, value)));
    }
}
