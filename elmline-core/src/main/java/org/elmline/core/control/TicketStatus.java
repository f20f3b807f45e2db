package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.TicketNumber;

/**
 * A ticket's decision, and where it is in force.
 *
 * @param inForce whether every process that may hold a lease has acknowledged the ticket's version
 * @param outstanding hosts that may hold a lease and haven't acknowledged it
 * @param settling true while a new leader can't know yet which leases its predecessor granted
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
