package org.elmline.daemon.control;

import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.TicketOutcome;
import org.elmline.core.control.TicketRecord;
import org.elmline.core.control.TicketStatus;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.TicketEvent;
import org.jboss.logging.Logger;

/**
 * Records what the leader decides about tickets, and when each is in force. A ticket whose leader is deposed before it
 * is in force gets no event of that; the next leader doesn't know what was reported.
 */
final class TicketEvents {
    private static final Logger LOG = Logger.getLogger(TicketEvents.class);
    private static final long CHECK_MILLIS = 50;

    private final EventRing events;
    private final ControlMachine machine;
    private final LeaderWatch watch;
    private final MonotonicClock clock;
    private final Set<String> proposed = ConcurrentHashMap.newKeySet();
    private final Map<TicketNumber, TicketOutcome.Accepted> notInForce = new ConcurrentHashMap<>();

    TicketEvents(EventRing events, ControlMachine machine, LeaderWatch watch, MonotonicClock clock) {
        this.events = events;
        this.machine = machine;
        this.watch = watch;
        this.clock = clock;
        machine.onApplied(this::applied);
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A ticket is about to be proposed here. One that is decided already is a retry, and nothing new happens to it. */
    void proposing(Command.ApplyTicket command) {
        boolean decided = machine.read(state -> state.ticket(command.ticket().number(), command.digest()))
                .isPresent();
        if (!decided) {
            proposed.add(command.digest());
        }
    }

    /** The proposal has ended, one way or another. */
    void ended(Command.ApplyTicket command) {
        proposed.remove(command.digest());
    }

    /** Only what was proposed here is recorded: every replica applies every ticket, and again after a restart. */
    private void applied(Command command, CommandResult result) {
        if (!(command instanceof Command.ApplyTicket apply)
                || !(result instanceof CommandResult.TicketDecided decided)
                || !proposed.remove(apply.digest())) {
            return;
        }
        TicketNumber number = apply.ticket().number();
        if (decided.outcome() instanceof TicketOutcome.Accepted accepted) {
            events.record(new TicketEvent.Accepted(number, accepted.version()));
            notInForce.put(number, accepted);
        } else if (decided.outcome() instanceof TicketOutcome.Refused refused) {
            events.record(new TicketEvent.Refused(number, refused.reason()));
        }
    }

    private void check() {
        try {
            Iterator<Map.Entry<TicketNumber, TicketOutcome.Accepted>> each =
                    notInForce.entrySet().iterator();
            while (each.hasNext()) {
                Map.Entry<TicketNumber, TicketOutcome.Accepted> ticket = each.next();
                Optional<TicketStatus> status = status(ticket.getKey());
                if (status.isPresent() && !status.get().inForce()) {
                    continue;
                }
                status.ifPresent(known -> events.record(new TicketEvent.InForce(
                        known.number(), ticket.getValue().version())));
                each.remove();
            }
        } catch (RuntimeException e) {
            LOG.error("check of tickets in force failed", e);
        }
    }

    /** Empty when this host no longer leads. */
    private Optional<TicketStatus> status(TicketNumber number) {
        Optional<TicketRecord> record = machine.read(state -> state.ticket(number));
        return record.flatMap(found -> watch.withKeeper(keeper -> keeper.status(found, clock.nanos())));
    }
}
