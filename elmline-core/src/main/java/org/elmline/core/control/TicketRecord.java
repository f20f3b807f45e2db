package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigObject;

/**
 * A decided ticket.
 *
 * @param digest SHA-256 of the ticket's content, see {@link TicketDigest}
 * @param keys keys of the objects in it
 */
public record TicketRecord(
        TicketNumber number, String author, String digest, List<String> keys, TicketOutcome outcome) {
    public TicketRecord {
        keys = List.copyOf(keys);
    }

    /**
     * Creates the record of a ticket that was just decided, for an answer. A ticket too old to be retained is in no
     * list.
     */
    public static TicketRecord of(Ticket ticket, String digest, TicketOutcome outcome) {
        List<String> keys = ticket.objects().stream().map(ConfigObject::key).toList();
        return new TicketRecord(ticket.number(), ticket.author(), digest, keys, outcome);
    }

    boolean accepted() {
        return outcome instanceof TicketOutcome.Accepted;
    }
}
