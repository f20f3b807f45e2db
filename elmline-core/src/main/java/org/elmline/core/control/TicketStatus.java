package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.TicketNumber;

/**
 * A ticket's decision, and where it is in force.
 *
 * @param inForce whether every process that may hold a lease has acknowledged the ticket's version
 * @param outstanding hosts that may hold a lease and have not acknowledged it
 * @param settling true while leases that an earlier leader granted may still be valid
 */
public record TicketStatus(
        TicketNumber number,
        String author,
        String digest,
        TicketOutcome outcome,
        boolean inForce,
        List<HostId> outstanding,
        boolean settling) {
    public TicketStatus {
        outstanding = List.copyOf(outstanding);
    }
}
