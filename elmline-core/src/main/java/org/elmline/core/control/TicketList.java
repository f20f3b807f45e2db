package org.elmline.core.control;

import java.util.List;

/** Decided tickets, the highest number first. Any control host may answer, from the state it has applied. */
public record TicketList(List<TicketRecord> tickets) {
    public TicketList {
        tickets = List.copyOf(tickets);
    }
}
