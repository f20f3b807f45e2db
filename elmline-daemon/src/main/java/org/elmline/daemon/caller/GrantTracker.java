package org.elmline.daemon.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.HostRecord;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.AuditAnswer;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.route.FirstToken;
import org.elmline.core.route.Grant;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.GrantReportAnswer;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.RegisterAnswer;
import org.elmline.core.route.RegisterGrants;
import org.elmline.core.route.Release;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.route.RouteChannels;
import org.elmline.daemon.backend.OwnerService;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;
import org.jboss.logging.Logger;

/**
 * Tracks the grants that this entry holds and the reports on them that owners haven't acknowledged. Every report is
 * repeated until the owner has answered or is no longer a member: a lost release would leave engine memory reserved
 * without use. When an engine gets a new owner, the open grants on it are registered there.
 *
 * <p>Thread-safe: one lock guards all state. Nothing is sent under it, and no other lock is taken but that of the owner
 * table.
 */
public final class GrantTracker {
    private static final Logger LOG = Logger.getLogger(GrantTracker.class);
    /**
     * Interval at which unanswered reports are repeated; a new one is sent at once unless one is in flight to its
     * owner.
     */
    private static final long REPORT_INTERVAL_MILLIS = 250;

    private static final long REGISTER_INTERVAL_MILLIS = 500;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final HostIdentity self;
    private final LeasedView leasedView;
    private final MonotonicClock clock;
    private final PeerNetwork network;
    private final OwnerService localOwner;
    private final OwnerTable owners;
    private final Map<AttemptId, TrackedGrant> open = new HashMap<>();
    private final Map<HostId, Outbox> outboxes = new HashMap<>();

    private record TrackedGrant(Grant grant, HostId owner) {}

    /** Reports that one owner has not acknowledged. */
    private static final class Outbox {
        private List<AttemptId> begun = new ArrayList<>();
        private List<FirstToken> firstTokens = new ArrayList<>();
        private List<Release> releases = new ArrayList<>();
        private boolean inFlight;

        boolean isEmpty() {
            return begun.isEmpty() && firstTokens.isEmpty() && releases.isEmpty();
        }
    }

    public GrantTracker(
            HostIdentity self,
            LeasedView leasedView,
            MonotonicClock clock,
            PeerNetwork network,
            OwnerService localOwner,
            OwnerTable owners,
            MetricRegistry metrics) {
        this.self = self;
        this.leasedView = leasedView;
        this.clock = clock;
        this.network = network;
        this.localOwner = localOwner;
        this.owners = owners;
        metrics.gauge("gateway.grants.open", () -> this::size);
    }

    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(
                () -> runAndLogFailures(this::report),
                REPORT_INTERVAL_MILLIS,
                REPORT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                () -> runAndLogFailures(this::registerMovedGrants),
                REGISTER_INTERVAL_MILLIS,
                REGISTER_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static void runAndLogFailures(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("reporting grants to owners failed; retrying at the next interval", e);
        }
    }

    synchronized void open(Grant grant, HostId owner) {
        open.put(grant.attempt(), new TrackedGrant(grant, owner));
    }

    /** Reports an attempt's first token: its prompt no longer counts as prefill backlog. */
    void reportFirstToken(AttemptId attempt, long millisSinceStart) {
        synchronized (this) {
            TrackedGrant tracked = open.get(attempt);
            if (tracked == null) {
                return;
            }
            open.put(attempt, new TrackedGrant(tracked.grant().afterFirstToken(), tracked.owner()));
            outbox(tracked.owner()).firstTokens.add(new FirstToken(attempt, millisSinceStart));
        }
        report();
    }

    /** Reports that the prefill of a segment begins. */
    void reportBegun(AttemptId attempt) {
        synchronized (this) {
            TrackedGrant tracked = open.get(attempt);
            if (tracked == null) {
                return;
            }
            outbox(tracked.owner()).begun.add(attempt);
        }
        report();
    }

    /** Releases a grant that was never used, whether this entry tracks it or not. */
    void releaseUnused(AttemptId attempt, HostId owner) {
        synchronized (this) {
            open.remove(attempt);
        }
        withdraw(attempt, owner);
    }

    /**
     * Those of the attempts that this entry doesn't run; none when the request is for another incarnation of this host.
     * An owner sends an audit when an engine holds memory for the attempts.
     */
    public synchronized AuditAnswer audit(AuditRequest request) {
        List<AttemptId> notRunning = new ArrayList<>();
        boolean sameProcess =
                request.host().equals(self.host()) && request.incarnation().equals(self.incarnation());
        for (AttemptId each : request.attempts()) {
            if (sameProcess && !open.containsKey(each)) {
                notRunning.add(each);
            }
        }
        return new AuditAnswer(notRunning);
    }

    /** Releases a grant whose engine holds nothing for the attempt any more. */
    void release(AttemptId attempt, ReleaseCause cause) {
        synchronized (this) {
            TrackedGrant tracked = open.remove(attempt);
            if (tracked == null) {
                return;
            }
            outbox(tracked.owner()).releases.add(new Release(attempt, cause));
        }
        report();
    }

    /** Releases whatever an owner reserved or queued for a place request that was not answered. */
    void withdraw(AttemptId attempt, HostId owner) {
        synchronized (this) {
            outbox(owner).releases.add(new Release(attempt, ReleaseCause.NOT_STARTED));
        }
        report();
    }

    synchronized int size() {
        return open.size();
    }

    private Outbox outbox(HostId owner) {
        return outboxes.computeIfAbsent(owner, id -> new Outbox());
    }

    private void report() {
        Map<HostId, GrantReport> due = new HashMap<>();
        synchronized (this) {
            dropLostOwners();
            for (Map.Entry<HostId, Outbox> each : outboxes.entrySet()) {
                Outbox outbox = each.getValue();
                if (!outbox.inFlight && !outbox.isEmpty()) {
                    outbox.inFlight = true;
                    due.put(
                            each.getKey(),
                            new GrantReport(
                                    self.host(),
                                    self.incarnation(),
                                    outbox.begun,
                                    outbox.firstTokens,
                                    outbox.releases));
                }
            }
        }
        due.forEach(this::send);
    }

    /**
     * Drops the reports to owners whose lease has expired: their ledgers are gone, and the next owner receives the open
     * grants by registration.
     */
    private void dropLostOwners() {
        boolean membersKnown = !leasedView.members().hosts().isEmpty();
        outboxes.keySet()
                .removeIf(id -> membersKnown
                        && !id.equals(self.host())
                        && leasedView.members().host(id).isEmpty());
    }

    private void send(HostId owner, GrantReport report) {
        deliver(owner, report).thenAccept(delivered -> {
            synchronized (this) {
                Outbox outbox = outbox(owner);
                outbox.inFlight = false;
                if (delivered) {
                    outbox.begun = new ArrayList<>(outbox.begun);
                    outbox.begun.removeAll(report.begun());
                    outbox.firstTokens = new ArrayList<>(outbox.firstTokens);
                    outbox.firstTokens.removeAll(report.firstTokens());
                    outbox.releases = new ArrayList<>(outbox.releases);
                    outbox.releases.removeAll(report.releases());
                }
            }
        });
    }

    private CompletableFuture<Boolean> deliver(HostId owner, GrantReport report) {
        if (owner.equals(self.host())) {
            localOwner.report(report);
            return CompletableFuture.completedFuture(true);
        }
        Optional<HostRecord> record = leasedView.members().host(owner);
        if (record.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        return network.call(record.get().peers(), RouteChannels.RELEASE, report, REQUEST_TIMEOUT)
                .thenApply(result -> result instanceof CallResult.Answered<GrantReportAnswer>);
    }

    private void registerMovedGrants() {
        Map<HostId, List<Grant>> moved = new HashMap<>();
        synchronized (this) {
            for (TrackedGrant each : open.values()) {
                Optional<HostRecord> owner = owners.ownerOf(each.grant().server());
                if (owner.isPresent() && !owner.get().id().equals(each.owner())) {
                    moved.computeIfAbsent(owner.get().id(), id -> new ArrayList<>())
                            .add(each.grant());
                }
            }
        }
        moved.forEach(this::register);
    }

    private void register(HostId owner, List<Grant> grants) {
        RegisterGrants request = new RegisterGrants(self.host(), self.incarnation(), grants);
        if (owner.equals(self.host())) {
            onRegistered(owner, grants, localOwner.registerGrants(request));
            return;
        }
        leasedView.members().host(owner).ifPresent(record -> network.call(
                        record.peers(), RouteChannels.REGISTER, request, REQUEST_TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<RegisterAnswer> answered) {
                        onRegistered(owner, grants, answered.value());
                    }
                }));
    }

    private synchronized void onRegistered(HostId owner, List<Grant> grants, RegisterAnswer answer) {
        for (Grant each : grants) {
            TrackedGrant tracked = open.get(each.attempt());
            if (tracked != null && !answer.notOwned().contains(each.attempt())) {
                open.put(each.attempt(), new TrackedGrant(tracked.grant(), owner));
            }
        }
    }
}
