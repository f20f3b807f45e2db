package org.elmline.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandClock;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.ControlLimits;
import org.elmline.core.control.LeaseKeeper;
import org.elmline.core.control.LeaseSettings;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HostEvent;
import org.jboss.logging.Logger;

/**
 * Follows whether this control host leads. Each new term first commits a {@link Command.StartLeadership}; only then,
 * with every earlier leader's commands applied, may this host grant leases and answer for tickets.
 */
final class LeaderWatch {
    private static final Logger LOG = Logger.getLogger(LeaderWatch.class);
    private static final long CHECK_MILLIS = 100;
    private static final long SWEEP_EVERY_CHECKS = 2;
    private static final long EXPIRE_EVERY_CHECKS = 100;

    private final HostId host;
    private final EventRing events;
    private final CommandLog log;
    private final ControlMachine machine;
    private final MonotonicClock clock;
    private final LeaseSettings leases;
    private final ControlLimits limits;
    private Term term;
    private long proposedTerm = -1;
    private long checks;

    /** One term of this host as leader. Its keeper is used under the machine's lock only. */
    private record Term(long number, FencingNumber fencing, LeaseKeeper keeper, CommandClock commandClock) {}

    LeaderWatch(
            HostId host,
            EventRing events,
            CommandLog log,
            ControlMachine machine,
            MonotonicClock clock,
            LeaseSettings leases,
            ControlLimits limits) {
        this.host = host;
        this.events = events;
        this.log = log;
        this.machine = machine;
        this.clock = clock;
        this.leases = leases;
        this.limits = limits;
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The term's fencing number, while this host leads and its leadership is committed. */
    Optional<FencingNumber> fencing() {
        return current().map(Term::fencing);
    }

    /** Milliseconds since 1970 to stamp into a command; see {@link CommandClock}. */
    long stampMillis() {
        return current()
                .map(each -> each.commandClock().stamp(System.currentTimeMillis(), clock.nanos()))
                .orElseGet(System::currentTimeMillis);
    }

    /** Uses the lease keeper under the machine's lock; empty when this host doesn't lead. */
    <T> Optional<T> withKeeper(Function<LeaseKeeper, T> use) {
        return current().map(each -> machine.read(state -> use.apply(each.keeper())));
    }

    private synchronized Optional<Term> current() {
        Standing standing = log.standing();
        boolean valid = term != null && standing.leads() && standing.term() == term.number();
        return valid ? Optional.of(term) : Optional.empty();
    }

    private void check() {
        try {
            Standing standing = log.standing();
            if (!standing.leads()) {
                lost();
                return;
            }
            if (propose(standing.term())) {
                Command command = new Command.StartLeadership(host, standing.term(), limits);
                log.propose(command).thenAccept(result -> started(standing.term(), result));
            }
            sweep();
        } catch (RuntimeException e) {
            LOG.error("leader check failed", e);
        }
    }

    /** True once for each term. */
    private synchronized boolean propose(long number) {
        if (proposedTerm == number) {
            return false;
        }
        proposedTerm = number;
        return true;
    }

    private void started(long number, Proposed result) {
        if (!(result instanceof Proposed.Applied applied)
                || !(applied.result() instanceof CommandResult.LeadershipStarted started)) {
            retry(number);
            return;
        }
        LeaseKeeper keeper = machine.read(state -> new LeaseKeeper(state, leases, clock.nanos()));
        CommandClock commandClock =
                machine.read(state -> new CommandClock(state.timeMillis(), System.currentTimeMillis(), clock.nanos()));
        synchronized (this) {
            if (proposedTerm == number) {
                term = new Term(number, started.fencing(), keeper, commandClock);
            }
        }
        events.record(new HostEvent.LeaderElected(host, number));
        LOG.infof("leading as of term %d with fencing number %s", number, started.fencing());
    }

    private synchronized void retry(long number) {
        if (proposedTerm == number) {
            proposedTerm = -1;
        }
    }

    private synchronized void lost() {
        if (term != null) {
            events.record(new HostEvent.LeaderDeposed(host, term.number()));
            LOG.infof("no longer leading; last term %d", term.number());
        }
        term = null;
        proposedTerm = -1;
    }

    private void sweep() {
        checks++;
        if (checks % SWEEP_EVERY_CHECKS != 0) {
            return;
        }
        List<Command.EndHost> ended =
                withKeeper(keeper -> keeper.ended(clock.nanos())).orElse(List.of());
        ended.forEach(log::propose);
        if (checks % EXPIRE_EVERY_CHECKS == 0 && current().isPresent()) {
            log.propose(new Command.ExpireClaims(stampMillis()));
        }
    }
}
