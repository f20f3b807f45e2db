package org.elmline.daemon.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.Ticket;
import org.elmline.core.control.TicketAnswer;
import org.elmline.core.control.TicketList;
import org.elmline.core.control.TicketListQuery;
import org.elmline.core.control.TicketQuery;
import org.elmline.core.control.TicketRecord;

/** Decides tickets through the log and reports where they are in force. Thread-safe. */
final class TicketService {
    private final CommandLog log;
    private final ControlStateMachine machine;
    private final LeadershipMonitor leadership;
    private final MonotonicClock clock;
    private final TicketEventRecorder eventRecorder;

    TicketService(
            CommandLog log,
            ControlStateMachine machine,
            LeadershipMonitor leadership,
            MonotonicClock clock,
            TicketEventRecorder eventRecorder) {
        this.log = log;
        this.machine = machine;
        this.leadership = leadership;
        this.clock = clock;
        this.eventRecorder = eventRecorder;
    }

    CompletionStage<TicketAnswer> submit(Ticket ticket) {
        if (!log.leadershipStatus().isLeader()) {
            return completed(notLeader());
        }
        Command.ApplyTicket command = Command.ApplyTicket.of(ticket);
        eventRecorder.beforeProposal(command);
        return log.propose(command).thenApply(result -> {
            eventRecorder.afterProposal(command);
            return toAnswer(ticket, command.digest(), result);
        });
    }

    CompletionStage<TicketAnswer> read(TicketQuery query) {
        Optional<TicketAnswer> answer =
                leadership.withLeases(leaseManager -> machine.read(state -> state.ticket(query.number())
                        .<TicketAnswer>map(found -> new TicketAnswer.Decided(leaseManager.status(found, clock.nanos())))
                        .orElseGet(() -> new TicketAnswer.Unknown(query.number()))));
        return completed(answer.orElseGet(this::notLeader));
    }

    CompletionStage<TicketList> list(TicketListQuery query) {
        return CompletableFuture.completedFuture(machine.read(state -> state.tickets(query)));
    }

    private TicketAnswer toAnswer(Ticket ticket, String digest, ProposalOutcome result) {
        if (result instanceof ProposalOutcome.NotLeader notLeader) {
            return new TicketAnswer.NotLeader(notLeader.leader());
        }
        if (result instanceof ProposalOutcome.Overloaded) {
            return new TicketAnswer.NotLeader(null);
        }
        if (result instanceof ProposalOutcome.Undecided undecided) {
            return new TicketAnswer.Undecided(undecided.why());
        }
        CommandResult applied = ((ProposalOutcome.Applied) result).result();
        // Not read from the state, which keeps no record of a ticket that is older than all kept ones.
        TicketRecord record = TicketRecord.of(ticket, digest, ((CommandResult.TicketDecided) applied).outcome());
        return leadership
                .withLeases(leaseManager -> leaseManager.status(record, clock.nanos()))
                .<TicketAnswer>map(TicketAnswer.Decided::new)
                .orElseGet(() -> new TicketAnswer.Undecided("this control host stopped leading meanwhile"));
    }

    private TicketAnswer notLeader() {
        LeadershipStatus status = log.leadershipStatus();
        return new TicketAnswer.NotLeader(status.isLeader() ? null : status.leader());
    }

    private static CompletionStage<TicketAnswer> completed(TicketAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
