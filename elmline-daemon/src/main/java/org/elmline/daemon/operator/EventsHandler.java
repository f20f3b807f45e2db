package org.elmline.daemon.operator;

import java.util.Deque;
import java.util.Optional;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.RequestId;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.timeline.EventQuery;
import org.elmline.core.timeline.EventRing;
import org.elmline.daemon.http.JsonResponses;

/** {@code GET /v1/events?request=&ticket=&host=&limit=}: this process's own events, oldest first. */
public final class EventsHandler implements HttpHandler {
    private final EventRing ring;

    public EventsHandler(EventRing ring) {
        this.ring = ring;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        EventQuery query;
        try {
            query = parseQuery(exchange);
        } catch (IllegalArgumentException e) {
            JsonResponses.sendRefusal(exchange, Refusal.didNotRun(RefusalReason.BAD_REQUEST, e.getMessage()));
            return;
        }
        JsonResponses.send(exchange, ring.page(query));
    }

    private static EventQuery parseQuery(HttpServerExchange exchange) {
        EventQuery.Builder query = EventQuery.builder();
        queryParameter(exchange, "request").map(RequestId::of).ifPresent(query::request);
        queryParameter(exchange, "ticket")
                .map(Long::valueOf)
                .map(TicketNumber::of)
                .ifPresent(query::ticket);
        queryParameter(exchange, "host").map(HostId::of).ifPresent(query::host);
        queryParameter(exchange, "limit").map(Integer::valueOf).ifPresent(query::limit);
        return query.build();
    }

    private static Optional<String> queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.ofNullable(values.peekFirst());
    }
}
