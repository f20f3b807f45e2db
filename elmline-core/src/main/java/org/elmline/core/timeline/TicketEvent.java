package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.TicketNumber;

/** A stage of one change ticket. */
public sealed interface TicketEvent extends Event {
    TicketNumber ticket();

    /** A quorum of control hosts committed the ticket. */
    @JsonTypeName("ticket-accepted")
    record Accepted(TicketNumber ticket, ConfigVersion version) implements TicketEvent {}

    /** The ticket was refused and changes nothing. */
    @JsonTypeName("ticket-refused")
    record Refused(TicketNumber ticket, RefusalReason reason) implements TicketEvent {}

    /** The recording process follows the ticket's version from now on. */
    @JsonTypeName("ticket-followed")
    record Followed(TicketNumber ticket, ConfigVersion version) implements TicketEvent {}

    /** Every process that holds a lease follows the ticket's version. */
    @JsonTypeName("ticket-in-force")
    record InForce(TicketNumber ticket, ConfigVersion version) implements TicketEvent {}
}
