package org.elmline.core.control;

import org.elmline.core.peer.Channel;

/** Channels that control hosts serve to entries. */
public final class ControlChannels {
    public static final Channel<LeaseRequest, LeaseAnswer> LEASE_RENEW =
            new Channel<>("lease.renew", LeaseRequest.class, LeaseAnswer.class);
    public static final Channel<Ticket, TicketAnswer> TICKET_SUBMIT =
            new Channel<>("ticket.submit", Ticket.class, TicketAnswer.class);
    public static final Channel<TicketQuery, TicketAnswer> TICKET_READ =
            new Channel<>("ticket.read", TicketQuery.class, TicketAnswer.class);
    public static final Channel<TicketListQuery, TicketList> TICKET_LIST =
            new Channel<>("ticket.list", TicketListQuery.class, TicketList.class);
    public static final Channel<ClaimBegin, ClaimAnswer> CLAIM_BEGIN =
            new Channel<>("claim.begin", ClaimBegin.class, ClaimAnswer.class);
    public static final Channel<ClaimFinish, ClaimAnswer> CLAIM_FINISH =
            new Channel<>("claim.finish", ClaimFinish.class, ClaimAnswer.class);

    private ControlChannels() {}
}
