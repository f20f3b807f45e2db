package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.TicketNumber;

/**
 * A decided ticket.
 *
 * @param digest SHA-256 of the ticket's content, see {@link TicketDigest}
 * @param keys keys of the objects it names
 */
public record TicketRecord(
        TicketNumber number, String author, String digest, List<String> keys, TicketOutcome outcome) {
    public TicketRecord {
        keys = List.copyOf(keys);
    }

    boolean accepted() {
        return outcome instanceof TicketOutcome.Accepted;
    }
}
