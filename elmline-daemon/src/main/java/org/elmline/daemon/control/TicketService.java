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

/** Decides tickets through the log and tells where they are in force. */
final class TicketService {
    private final CommandLog log;
    private final ControlMachine machine;
    private final LeaderWatch watch;
    private final MonotonicClock clock;
    private final TicketEvents events;

    TicketService(
            CommandLog log, ControlMachine machine, LeaderWatch watch, MonotonicClock clock, TicketEvents events) {
        this.log = log;
        this.machine = machine;
        this.watch = watch;
        this.clock = clock;
        this.events = events;
    }

    CompletionStage<TicketAnswer> submit(Ticket ticket) {
        if (!log.standing().leads()) {
            return done(notLeader());
        }
        Command.ApplyTicket command = Command.ApplyTicket.of(ticket);
        events.proposing(command);
        return log.propose(command).thenApply(result -> {
            events.ended(command);
            return answer(ticket, command.digest(), result);
        });
    }

    CompletionStage<TicketAnswer> read(TicketQuery query) {
        Optional<TicketAnswer> answer = watch.withKeeper(keeper -> machine.read(state -> state.ticket(query.number())
                .<TicketAnswer>map(found -> new TicketAnswer.Decided(keeper.status(found, clock.nanos())))
                .orElseGet(() -> new TicketAnswer.Unknown(query.number()))));
        return done(answer.orElseGet(this::notLeader));
    }

    CompletionStage<TicketList> list(TicketListQuery query) {
        return CompletableFuture.completedFuture(machine.read(state -> state.tickets(query)));
    }

    private TicketAnswer answer(Ticket ticket, String digest, Proposed result) {
        if (result instanceof Proposed.NotLeader not) {
            return new TicketAnswer.NotLeader(not.leader());
        }
        if (result instanceof Proposed.Overloaded) {
            return new TicketAnswer.NotLeader(null);
        }
        if (result instanceof Proposed.Undecided undecided) {
            return new TicketAnswer.Undecided(undecided.why());
        }
        CommandResult applied = ((Proposed.Applied) result).result();
        // Not read back from the state: a ticket older than all that are kept leaves no record there.
        TicketRecord record = TicketRecord.of(ticket, digest, ((CommandResult.TicketDecided) applied).outcome());
        return watch.withKeeper(keeper -> keeper.status(record, clock.nanos()))
                .<TicketAnswer>map(TicketAnswer.Decided::new)
                .orElseGet(() -> new TicketAnswer.Undecided("this control host stopped leading meanwhile"));
    }

    private TicketAnswer notLeader() {
        Standing standing = log.standing();
        return new TicketAnswer.NotLeader(standing.leads() ? null : standing.leader());
    }

    private static CompletionStage<TicketAnswer> done(TicketAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
