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
import org.elmline.core.control.LeaseManager;
import org.elmline.core.control.LeaseSettings;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HostEvent;
import org.jboss.logging.Logger;

/**
 * Monitors whether this control host leads. Each new term first commits a {@link Command.StartLeadership}; only then
 * are all commands of earlier leaders applied, and this host may grant leases and answer for tickets. Thread-safe.
 */
final class LeadershipMonitor {
    private static final Logger LOG = Logger.getLogger(LeadershipMonitor.class);
    private static final long CHECK_INTERVAL_MILLIS = 100;
    private static final long HOST_EXPIRY_INTERVAL_CHECKS = 2;
    private static final long CLAIM_EXPIRY_INTERVAL_CHECKS = 100;

    private final HostId host;
    private final EventRing events;
    private final CommandLog log;
    private final ControlStateMachine machine;
    private final MonotonicClock clock;
    private final LeaseSettings leaseSettings;
    private final ControlLimits limits;
    private LeaderTerm leaderTerm;
    private long lastProposedTerm = -1;
    private long checkCount;

    /** One term of this host as leader. The lease manager is used under the state machine's lock only. */
    private record LeaderTerm(
            long number, FencingNumber fencingNumber, LeaseManager leases, CommandClock commandClock) {}

    LeadershipMonitor(
            HostId host,
            EventRing events,
            CommandLog log,
            ControlStateMachine machine,
            MonotonicClock clock,
            LeaseSettings leaseSettings,
            ControlLimits limits) {
        this.host = host;
        this.events = events;
        this.log = log;
        this.machine = machine;
        this.clock = clock;
        this.leaseSettings = leaseSettings;
        this.limits = limits;
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::checkLeadership, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the term's fencing number while this host leads and its leadership is committed. */
    Optional<FencingNumber> fencingNumber() {
        return currentTerm().map(LeaderTerm::fencingNumber);
    }

    /** Returns the time to stamp into a command, in milliseconds since 1970; see {@link CommandClock}. */
    long commandTimeMillis() {
        return currentTerm()
                .map(each -> each.commandClock().stamp(System.currentTimeMillis(), clock.nanos()))
                .orElseGet(System::currentTimeMillis);
    }

    /**
     * Applies a function to the lease manager under the state machine's lock. Empty when this host does not lead or its
     * leadership is not yet committed.
     */
    <T> Optional<T> withLeases(Function<LeaseManager, T> use) {
        return currentTerm().map(each -> machine.read(state -> use.apply(each.leases())));
    }

    private synchronized Optional<LeaderTerm> currentTerm() {
        LeadershipStatus status = log.leadershipStatus();
        boolean valid = leaderTerm != null && status.isLeader() && status.term() == leaderTerm.number();
        return valid ? Optional.of(leaderTerm) : Optional.empty();
    }

    private void checkLeadership() {
        try {
            LeadershipStatus status = log.leadershipStatus();
            if (!status.isLeader()) {
                onLeadershipLost();
                return;
            }
            if (markTermProposed(status.term())) {
                Command command = new Command.StartLeadership(host, status.term(), limits);
                log.propose(command).thenAccept(result -> onLeadershipStarted(status.term(), result));
            }
            expireHostsAndClaims();
        } catch (RuntimeException e) {
            LOG.error("leader check failed", e);
        }
    }

    /** Returns true once per term, and again after {@link #clearProposedTerm}. */
    private synchronized boolean markTermProposed(long number) {
        if (lastProposedTerm == number) {
            return false;
        }
        lastProposedTerm = number;
        return true;
    }

    private void onLeadershipStarted(long number, ProposalOutcome result) {
        if (!(result instanceof ProposalOutcome.Applied applied)
                || !(applied.result() instanceof CommandResult.LeadershipStarted started)) {
            clearProposedTerm(number);
            return;
        }
        LeaseManager leaseManager = machine.read(state -> new LeaseManager(state, leaseSettings, clock.nanos()));
        CommandClock commandClock =
                machine.read(state -> new CommandClock(state.timeMillis(), System.currentTimeMillis(), clock.nanos()));
        synchronized (this) {
            if (lastProposedTerm == number) {
                leaderTerm = new LeaderTerm(number, started.fencing(), leaseManager, commandClock);
            }
        }
        events.record(new HostEvent.LeaderElected(host, number));
        LOG.infof("leading as of term %d with fencing number %s", number, started.fencing());
    }

    private synchronized void clearProposedTerm(long number) {
        if (lastProposedTerm == number) {
            lastProposedTerm = -1;
        }
    }

    private synchronized void onLeadershipLost() {
        if (leaderTerm != null) {
            events.record(new HostEvent.LeaderDeposed(host, leaderTerm.number()));
            LOG.infof("no longer leading; last term %d", leaderTerm.number());
        }
        leaderTerm = null;
        lastProposedTerm = -1;
    }

    private void expireHostsAndClaims() {
        checkCount++;
        if (checkCount % HOST_EXPIRY_INTERVAL_CHECKS != 0) {
            return;
        }
        List<Command.EndHost> ended = withLeases(leaseManager -> leaseManager.endExpired(clock.nanos()))
                .orElse(List.of());
        ended.forEach(log::propose);
        if (checkCount % CLAIM_EXPIRY_INTERVAL_CHECKS == 0 && currentTerm().isPresent()) {
            log.propose(new Command.ExpireClaims(commandTimeMillis()));
        }
    }
}
