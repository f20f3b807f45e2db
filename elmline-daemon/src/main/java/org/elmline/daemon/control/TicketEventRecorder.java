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
 * Records the leader's decisions on tickets and when each ticket is in force. A ticket whose leader is deposed before
 * it is in force gets no in-force event, as the events that were recorded are not replicated to the next leader.
 * Thread-safe.
 */
final class TicketEventRecorder {
    private static final Logger LOG = Logger.getLogger(TicketEventRecorder.class);
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final EventRing events;
    private final ControlStateMachine machine;
    private final LeadershipMonitor leadership;
    private final MonotonicClock clock;
    private final Set<String> proposedDigests = ConcurrentHashMap.newKeySet();
    private final Map<TicketNumber, TicketOutcome.Accepted> acceptedNotInForce = new ConcurrentHashMap<>();

    TicketEventRecorder(
            EventRing events, ControlStateMachine machine, LeadershipMonitor leadership, MonotonicClock clock) {
        this.events = events;
        this.machine = machine;
        this.leadership = leadership;
        this.clock = clock;
        machine.onApplied(this::onApplied);
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(
                this::recordTicketsInForce, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * To be called before a ticket is proposed here. A ticket that is already decided is a retry and gets no new event.
     */
    void beforeProposal(Command.ApplyTicket command) {
        boolean decided = machine.read(state -> state.ticket(command.ticket().number(), command.digest()))
                .isPresent();
        if (!decided) {
            proposedDigests.add(command.digest());
        }
    }

    /** To be called when the proposal has ended, whatever its outcome. */
    void afterProposal(Command.ApplyTicket command) {
        proposedDigests.remove(command.digest());
    }

    /**
     * Records only tickets that were proposed here: every replica applies every ticket, and applies it again after a
     * restart.
     */
    private void onApplied(Command command, CommandResult result) {
        if (!(command instanceof Command.ApplyTicket apply)
                || !(result instanceof CommandResult.TicketDecided decided)
                || !proposedDigests.remove(apply.digest())) {
            return;
        }
        TicketNumber number = apply.ticket().number();
        if (decided.outcome() instanceof TicketOutcome.Accepted accepted) {
            events.record(new TicketEvent.Accepted(number, accepted.version()));
            acceptedNotInForce.put(number, accepted);
        } else if (decided.outcome() instanceof TicketOutcome.Refused refused) {
            events.record(new TicketEvent.Refused(number, refused.reason()));
        }
    }

    private void recordTicketsInForce() {
        try {
            Iterator<Map.Entry<TicketNumber, TicketOutcome.Accepted>> pending =
                    acceptedNotInForce.entrySet().iterator();
            while (pending.hasNext()) {
                Map.Entry<TicketNumber, TicketOutcome.Accepted> ticket = pending.next();
                Optional<TicketStatus> status = status(ticket.getKey());
                if (status.isPresent() && !status.get().inForce()) {
                    continue;
                }
                status.ifPresent(known -> events.record(new TicketEvent.InForce(
                        known.number(), ticket.getValue().version())));
                pending.remove();
            }
        } catch (RuntimeException e) {
            LOG.error("check of tickets in force failed", e);
        }
    }

    /** Returns the ticket's status, empty when this host no longer leads or keeps no record of the ticket. */
    private Optional<TicketStatus> status(TicketNumber number) {
        Optional<TicketRecord> record = machine.read(state -> state.ticket(number));
        return record.flatMap(
                found -> leadership.withLeases(leaseManager -> leaseManager.status(found, clock.nanos())));
    }
}
