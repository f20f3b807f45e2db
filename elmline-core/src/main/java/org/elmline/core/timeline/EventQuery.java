package org.elmline.core.timeline;

import org.elmline.core.common.HostId;
import org.elmline.core.common.RequestId;
import org.elmline.core.common.TicketNumber;

/**
 * A filter on events. A component that is null matches every event.
 *
 * @param host events that this host recorded or that are about it
 * @param limit largest number of events to return, at least 1; the latest ones are returned
 */
public record EventQuery(RequestId request, TicketNumber ticket, HostId host, int limit) {
    public static final int DEFAULT_LIMIT = 1_000;
    public static final int MAX_LIMIT = 100_000;

    public EventQuery {
        if (limit < 1 || limit > MAX_LIMIT) {
            throw new IllegalArgumentException("limit must be 1 to " + MAX_LIMIT + ": " + limit);
        }
    }

    /** Every event up to the default limit. */
    public static EventQuery all() {
        return builder().build();
    }

    public static Builder builder() {
        return new Builder();
    }

    public boolean matches(StampedEvent stamped) {
        return matchesRequest(stamped.event()) && matchesTicket(stamped.event()) && matchesHost(stamped);
    }

    private boolean matchesRequest(Event event) {
        return request == null
                || event instanceof RequestEvent of && of.request().equals(request);
    }

    private boolean matchesTicket(Event event) {
        return ticket == null || event instanceof TicketEvent of && of.ticket().equals(ticket);
    }

    private boolean matchesHost(StampedEvent stamped) {
        return host == null
                || stamped.host().equals(host)
                || stamped.event() instanceof HostEvent of && of.host().equals(host);
    }

    /** Builds a query. A filter that is not set matches every event. */
    public static final class Builder {
        private RequestId request;
        private TicketNumber ticket;
        private HostId host;
        private int limit = DEFAULT_LIMIT;

        private Builder() {}

        public Builder request(RequestId value) {
            request = value;
            return this;
        }

        public Builder ticket(TicketNumber value) {
            ticket = value;
            return this;
        }

        public Builder host(HostId value) {
            host = value;
            return this;
        }

        public Builder limit(int value) {
            limit = value;
            return this;
        }

        public EventQuery build() {
            return new EventQuery(request, ticket, host, limit);
        }
    }
}
