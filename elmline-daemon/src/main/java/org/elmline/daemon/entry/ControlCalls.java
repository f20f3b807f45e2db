package org.elmline.daemon.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.CallResult;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.control.ClaimAnswer;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.ControlChannels;
import org.elmline.core.control.Ticket;
import org.elmline.core.control.TicketAnswer;
import org.elmline.core.control.TicketList;
import org.elmline.core.control.TicketListQuery;
import org.elmline.core.control.TicketQuery;

/** The calls that an entry makes to control hosts for its callers and operators. Thread-safe. */
public final class ControlCalls {
    private static final Duration TICKET_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);

    private final ControlClient client;

    public ControlCalls(ControlClient client) {
        this.client = client;
    }

    public CompletableFuture<CallResult<TicketAnswer>> submit(Ticket ticket) {
        return client.call(ControlChannels.TICKET_SUBMIT, ticket, TICKET_TIMEOUT, LeaderHint.OF_TICKET);
    }

    public CompletableFuture<CallResult<TicketAnswer>> ticket(TicketNumber number) {
        return client.call(ControlChannels.TICKET_READ, new TicketQuery(number), READ_TIMEOUT, LeaderHint.OF_TICKET);
    }

    public CompletableFuture<CallResult<TicketList>> tickets(TicketListQuery query) {
        return client.call(ControlChannels.TICKET_LIST, query, READ_TIMEOUT, LeaderHint.none());
    }

    public CompletableFuture<CallResult<ClaimAnswer>> beginClaim(ClaimBegin claim, Duration timeout) {
        return client.call(ControlChannels.CLAIM_BEGIN, claim, timeout, LeaderHint.OF_CLAIM);
    }

    public CompletableFuture<CallResult<ClaimAnswer>> finishClaim(ClaimFinish claim, Duration timeout) {
        return client.call(ControlChannels.CLAIM_FINISH, claim, timeout, LeaderHint.OF_CLAIM);
    }
}
