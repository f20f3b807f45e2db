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
import org.elmline.daemon.http.Answers;
import org.elmline.daemon.http.BodyReader;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** {@code PUT /v1/tickets/{number}}, {@code GET /v1/tickets/{number}} and {@code GET /v1/tickets}. */
public final class TicketsHandler {
    private static final long RETRY_MILLIS = 1000;
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAX_LIMIT = 1000;

    private final ControlCalls control;
    private final BodyReader bodies;

    public TicketsHandler(ControlCalls control, BodyReader bodies) {
        this.control = control;
        this.bodies = bodies;
    }

    /** The body of a ticket. The number may be left out, since the path has it; a different one is refused. */
    record TicketBody(TicketNumber number, String author, List<ConfigObject> objects) {}

    public void put(HttpServerExchange exchange) {
        Optional<TicketNumber> number = number(exchange);
        if (number.isEmpty()) {
            refuse(exchange, "a ticket's number is a whole number from 0");
            return;
        }
        bodies.read(exchange, body -> submit(exchange, number.get(), body));
    }

    public void show(HttpServerExchange exchange) {
        Optional<TicketNumber> number = number(exchange);
        if (number.isEmpty()) {
            refuse(exchange, "a ticket's number is a whole number from 0");
            return;
        }
        later(exchange, control.ticket(number.get()), this::answer);
    }

    public void list(HttpServerExchange exchange) {
        Optional<Long> limit = numeric(exchange, "limit", DEFAULT_LIMIT);
        Optional<Long> below = numeric(exchange, "below", 0);
        if (limit.isEmpty() || below.isEmpty()) {
            refuse(exchange, "limit and below are whole numbers from 0");
            return;
        }
        TicketNumber first = below.get() == 0 ? null : TicketNumber.of(below.get());
        int most = (int) Math.max(1, Math.min(limit.get(), MAX_LIMIT));
        later(exchange, control.tickets(new TicketListQuery(first, most)), TicketsHandler::answerList);
    }

    private void submit(HttpServerExchange exchange, TicketNumber number, byte[] body) {
        Decoded<TicketBody> decoded = Codecs.STRICT_JSON.decode(body, TicketBody.class);
        if (decoded instanceof Decoded.Malformed<TicketBody> malformed) {
            refuse(exchange, malformed.why());
            return;
        }
        TicketBody given = ((Decoded.Value<TicketBody>) decoded).value();
        if (given.number() != null && !given.number().equals(number)) {
            refuse(exchange, "the path names ticket " + number + ", the body ticket " + given.number());
            return;
        }
        Ticket ticket;
        try {
            ticket = new Ticket(number, given.author(), given.objects());
        } catch (IllegalArgumentException e) {
            refuse(exchange, e.getMessage());
            return;
        }
        later(exchange, control.submit(ticket), this::answer);
    }

    private void answer(HttpServerExchange exchange, CallResult<TicketAnswer> result) {
        if (!(result instanceof CallResult.Answered<TicketAnswer> answered)) {
            unreachable(exchange, result);
            return;
        }
        if (answered.value() instanceof TicketAnswer.Decided decided) {
            Answers.json(exchange, status(decided.status()), TicketView.of(decided.status()));
        } else if (answered.value() instanceof TicketAnswer.Unknown unknown) {
            Answers.refuse(
                    exchange, Refusal.didNotRun(RefusalReason.NOT_FOUND, "no ticket " + unknown.number() + " is kept"));
        } else {
            Answers.refuse(
                    exchange,
                    new Refusal(
                            RefusalReason.NO_LEADER,
                            "the ticket may have been accepted; send the same ticket again",
                            Ran.UNKNOWN,
                            RETRY_MILLIS));
        }
    }

    private static void answerList(HttpServerExchange exchange, CallResult<TicketList> result) {
        if (result instanceof CallResult.Answered<TicketList> answered) {
            Answers.json(exchange, answered.value());
            return;
        }
        unreachable(exchange, result);
    }

    private static int status(TicketStatus status) {
        return status.outcome() instanceof TicketOutcome.Refused refused
                ? refused.reason().status()
                : StatusCodes.OK;
    }

    private static void unreachable(HttpServerExchange exchange, CallResult<?> result) {
        Answers.refuse(
                exchange,
                new Refusal(
                        RefusalReason.NO_LEADER,
                        "no control host answered; sending the same ticket again is safe",
                        result.ran(),
                        RETRY_MILLIS));
    }

    private static Optional<TicketNumber> number(HttpServerExchange exchange) {
        return numeric(exchange, "number", -1).filter(each -> each >= 0).map(TicketNumber::of);
    }

    private static Optional<Long> numeric(HttpServerExchange exchange, String name, long otherwise) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null || values.isEmpty()) {
            return Optional.of(otherwise);
        }
        try {
            return Optional.of(Long.parseLong(values.getFirst())).filter(each -> each >= 0);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static void refuse(HttpServerExchange exchange, String why) {
        Answers.refuse(exchange, Refusal.didNotRun(RefusalReason.BAD_REQUEST, why));
    }

    /** What to write once a result has come. */
    private interface Writer<T> {
        void write(HttpServerExchange exchange, T result);
    }

    private static <T> void later(HttpServerExchange exchange, CompletableFuture<T> result, Writer<T> writer) {
        exchange.dispatch(Runnable::run, () -> result.thenAccept(value -> writer.write(exchange, value)));
    }
}
