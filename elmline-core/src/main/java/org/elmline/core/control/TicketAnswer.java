package org.elmline.core.control;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Address;
import org.elmline.core.common.TicketNumber;

/** A control host's answer to a ticket, or to a query for one. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "answer")
public sealed interface TicketAnswer {
    /** Committed by a quorum. */
    @JsonTypeName("decided")
    record Decided(TicketStatus status) implements TicketAnswer {}

    /** No ticket of this number is retained. */
    @JsonTypeName("unknown")
    record Unknown(TicketNumber number) implements TicketAnswer {}

    /**
     * Nothing was proposed, as this control host is not the leader or accepts no proposals now.
     *
     * @param leader address to send the request to, null when unknown
     */
    @JsonTypeName("not-leader")
    record NotLeader(Address leader) implements TicketAnswer {}

    /** Proposed, but not confirmed as committed. Sending the same ticket again is safe. */
    @JsonTypeName("undecided")
    record Undecided(String why) implements TicketAnswer {}
}
