package org.elmline.daemon.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.evacuation.EvacuationProgress;
import org.elmline.core.quarantine.EvidenceReport;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.FollowRequest;
import org.elmline.core.registry.HeartbeatAge;
import org.elmline.core.registry.LiveEntries;
import org.elmline.core.registry.PendingPoll;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.RegistryVersions;
import org.elmline.core.registry.ServerRegistry;
import org.elmline.daemon.log.DecisionLog;

/**
 * Receives heartbeats of backend servers and entries, and answers the polls of entries and other control hosts.
 * Thread-safe: one lock, held for short steps; futures are completed outside of it.
 */
public final class RegistryService {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Heartbeat intervals without a heartbeat after which a server is timed out. */
    private static final int TIMEOUT_HEARTBEATS = 3;

    /**
     * Heartbeat intervals in which a restored server must send a heartbeat; fewer than for one that has sent heartbeats
     * since this host started.
     */
    private static final int RESTORED_TIMEOUT_HEARTBEATS = 2;

    /** Shortest interval between two writes of the known servers; changes come in bursts. */
    private static final long MIN_WRITE_INTERVAL_NANOS = 250 * NANOS_PER_MILLI;

    /**
     * Time for which a server that left is kept as a tombstone. A heartbeat delayed by a network partition may arrive
     * this late and would register the server again.
     */
    private static final long TOMBSTONE_RETENTION_NANOS = 600_000 * NANOS_PER_MILLI;

    /**
     * Time after the end of a poll's hold for which its entry counts as live: the longest delay of an answer on its
     * way.
     */
    private static final long LIVENESS_MARGIN_NANOS = 450 * NANOS_PER_MILLI;

    /** Longest wait until all entries have received a change: a backend server expects its answer within a second. */
    private static final long PROPAGATION_TIMEOUT_NANOS = 600 * NANOS_PER_MILLI;

    private static final long TICK_INTERVAL_MILLIS = 25;

    private final long epoch;
    private final MonotonicClock clock;
    private final Supplier<List<Address>> controlHosts;
    private final RoutingProvider routing;
    private final Counter unreadableHeartbeat;
    private final QuarantineService quarantine;
    private final EvacuationProvider evacuations;
    private final DecisionLog log;
    private final ServerRegistry servers;
    private final ColdServerLog coldServers;
    private final PersistedValue<PersistedServers> persistedServers;
    private final LiveEntries entries = new LiveEntries();
    private final Map<HostId, Follower> followers = new HashMap<>();
    private final List<Poll> openPolls = new ArrayList<>();
    private final List<Propagation> propagations = new ArrayList<>();
    private long lastLeaveChange;
    private long lastEntryExpiry;
    private long startedAtNanos;
    private long confirmedNanos;
    private boolean receivesHeartbeats;
    private long persistedChanges;
    private long persistedAtNanos;

    private static final class Follower {
        private long aliveUntilNanos;
        private long serversSeen;
        private long heartbeatsReportedUntilNanos;
        private boolean isEntry;
        private EvacuationProgress evacuationProgress = EvacuationProgress.NOT_FOLLOWED;
    }

    private record Poll(PendingPoll pending, CompletableFuture<FollowAnswer> answer) {}

    private record Propagation(long changeNumber, long expiresAtNanos, CompletableFuture<Boolean> done) {}

    RegistryService(
            long epoch,
            int heartbeatMillis,
            MonotonicClock clock,
            Supplier<List<Address>> controlHosts,
            RoutingProvider routing,
            PersistedValue<PersistedServers> persistedServers,
            QuarantineService quarantine,
            EvacuationProvider evacuations,
            MetricRegistry metrics,
            DecisionLog log) {
        this.epoch = epoch;
        this.clock = clock;
        this.controlHosts = controlHosts;
        this.routing = routing;
        this.unreadableHeartbeat = metrics.counter("registry.heartbeats.unreadable");
        this.quarantine = quarantine;
        this.evacuations = evacuations;
        this.log = log;
        this.coldServers = new ColdServerLog(log);
        this.persistedServers = persistedServers;
        long heartbeatNanos = heartbeatMillis * NANOS_PER_MILLI;
        this.servers = new ServerRegistry(
                TIMEOUT_HEARTBEATS * heartbeatNanos,
                RESTORED_TIMEOUT_HEARTBEATS * heartbeatNanos,
                TOMBSTONE_RETENTION_NANOS);
    }

    /** Restores the persisted servers and starts the periodic tick. */
    void start(ScheduledExecutorService timer) {
        List<Registration> restored =
                persistedServers.read().map(PersistedServers::servers).orElse(List.of());
        long now = clock.nanos();
        synchronized (this) {
            startedAtNanos = now;
            confirmedNanos = now;
            restored.forEach(each -> servers.restore(each, now));
            persistedChanges = servers.lastChange();
            persistedAtNanos = now;
        }
        log.line("registry restored")
                .with("servers", restored.size())
                .with("routingVersion", routing.currentVersion())
                .write();
        timer.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Records a heartbeat. Completes with true when it may be acknowledged. A leaving server measures its remaining
     * time from the acknowledgement, which therefore waits until every live entry has received the change or the wait
     * times out. A change can't spread from a control host that nobody polls: a server that accepts work is
     * acknowledged only with a live entry or a quorum, a leaving one only with both.
     */
    public CompletableFuture<Boolean> register(Registration registration) {
        long now = clock.nanos();
        CompletableFuture<Boolean> done;
        synchronized (this) {
            if (servers.onHeartbeat(registration, now)) {
                log.line("server registered")
                        .with("server", registration.id())
                        .with("service", registration.service())
                        .with("address", registration.address())
                        .with("state", registration.state())
                        .with("born", registration.bornMillis())
                        .with("sequence", registration.sequence())
                        .write();
            }
            coldServers.record(registration, servers.coldReport(registration, now));
            done = registration.state().acceptsWork()
                    ? CompletableFuture.completedFuture(canPropagate())
                    : propagate(now);
        }
        answerPolls();
        return done;
    }

    /** Records a heartbeat that can't be used, as it can't be decoded or lacks a required field. */
    public void unreadableHeartbeat(String server) {
        unreadableHeartbeat.inc();
        log.line("heartbeat unreadable").with("server", server).write();
    }

    /** Deregisters a server; completes as {@link #register} does. */
    public CompletableFuture<Boolean> leave(BackendServerId id) {
        long now = clock.nanos();
        CompletableFuture<Boolean> done;
        synchronized (this) {
            if (servers.deregister(id, now)) {
                log.line("server left").with("server", id).write();
            }
            done = propagate(now);
        }
        answerPolls();
        return done;
    }

    private boolean canPropagate() {
        return !entries.all().isEmpty() || routing.hasQuorum();
    }

    private CompletableFuture<Boolean> propagate(long now) {
        if (entries.all().isEmpty() || !routing.hasQuorum()) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        lastLeaveChange = servers.lastChange();
        propagations.add(new Propagation(lastLeaveChange, now + PROPAGATION_TIMEOUT_NANOS, done));
        return done;
    }

    /** Answers a poll as soon as there are changes, or when its hold time is over. */
    CompletableFuture<FollowAnswer> follow(FollowRequest request) {
        CompletableFuture<FollowAnswer> answer = new CompletableFuture<>();
        long now = clock.nanos();
        synchronized (this) {
            Follower follower = followers.computeIfAbsent(request.host(), host -> new Follower());
            PendingPoll poll = new PendingPoll(request, now);
            follower.aliveUntilNanos = now + poll.holdMillis() * NANOS_PER_MILLI + LIVENESS_MARGIN_NANOS;
            follower.serversSeen = request.epoch() == epoch ? request.serversSeen() : -1;
            follower.isEntry = request.entry() != null;
            follower.evacuationProgress = new EvacuationProgress(request.evacuationSeen(), request.evacuatedCalls());
            if (request.entry() != null && entries.renew(request.entry(), follower.aliveUntilNanos)) {
                log.line("entry registered")
                        .with("entry", request.host())
                        .with("serving", request.entry().serving())
                        .write();
            }
            openPolls.add(new Poll(poll, answer));
        }
        answerPolls();
        return answer;
    }

    /** Merges the servers and heartbeats that another control host reports. */
    void merge(FollowAnswer answer) {
        long now = clock.nanos();
        synchronized (this) {
            answer.servers().forEach(each -> servers.merge(each, now));
            answer.heard().forEach(each -> merge(each, now));
        }
        if (answer.quarantine() != null) {
            quarantine.merge(answer.quarantine().records());
        }
        answerPolls();
    }

    private void merge(HeartbeatAge heartbeat, long now) {
        OptionalLong receivedAtNanos = heartbeat.receivedAtNanos(now);
        if (receivedAtNanos.isPresent()) {
            servers.merge(heartbeat, receivedAtNanos.getAsLong());
        } else {
            log.line("heartbeat age out of range")
                    .with("server", heartbeat.id())
                    .with("ageMs", heartbeat.ageMillis())
                    .write();
        }
    }

    /** Applies what an entry reports on crashed servers. Returns all that this host holds then. */
    QuarantineNews applyEvidence(EvidenceReport report) {
        QuarantineNews news = quarantine.apply(report);
        answerPolls();
        return news;
    }

    /** To be called when the routing table has changed. */
    void onRoutingChanged() {
        answerPolls();
    }

    /** To be called once the port for heartbeats is open; until then no server expires. */
    void onPortOpened() {
        long now = clock.nanos();
        synchronized (this) {
            servers.restartTimeouts(now);
            receivesHeartbeats = true;
        }
    }

    private void tick() {
        try {
            long now = clock.nanos();
            synchronized (this) {
                if (receivesHeartbeats) {
                    servers.expire(now);
                }
                if (entries.expire(now)) {
                    lastEntryExpiry = entries.lastChange();
                    log.line("entries expired")
                            .with("left", entries.all().size())
                            .write();
                }
                persistServers(now);
                unconfirmedMillis(now);
            }
            routing.persist(now);
            evacuations.tick(now);
            quarantine.tick();
            answerPolls();
        } catch (RuntimeException e) {
            log.line("registry tick failed").with("why", e).write();
        }
    }

    private void persistServers(long now) {
        boolean changed = servers.lastChange() != persistedChanges || persistedServers.lastWriteFailed();
        boolean due = changed && now - persistedAtNanos >= MIN_WRITE_INTERVAL_NANOS;
        if (due && persistedServers.tryWrite(new PersistedServers(servers.availableServers()))) {
            persistedChanges = servers.lastChange();
            persistedAtNanos = now;
        }
    }

    private void answerPolls() {
        List<Runnable> completions = new ArrayList<>();
        synchronized (this) {
            long now = clock.nanos();
            RegistryVersions versions = new RegistryVersions(
                    epoch,
                    servers.lastChange(),
                    lastLeaveChange,
                    entries.lastChange(),
                    lastEntryExpiry,
                    routing.currentVersion(),
                    quarantine.changeNumber(),
                    evacuations.currentVersion(),
                    quarantine.lastRecordChange());
            Iterator<Poll> each = openPolls.iterator();
            while (each.hasNext()) {
                Poll poll = each.next();
                if (poll.pending().isDue(versions, now)) {
                    each.remove();
                    FollowAnswer answer = buildAnswer(poll.pending().request(), versions, now);
                    completions.add(() -> poll.answer().complete(answer));
                }
            }
            completePropagations(now, completions);
        }
        completions.forEach(Runnable::run);
    }

    private FollowAnswer buildAnswer(FollowRequest request, RegistryVersions versions, long now) {
        long version = versions.routingVersion();
        boolean full = request.epoch() != epoch;
        boolean isEntry = request.entry() != null;
        boolean entriesChanged = isEntry && (full || entries.lastChange() != request.entriesSeen());
        boolean deltas = entriesChanged
                && !full
                && request.acceptsPackedUpdates()
                && entries.canListChangesSince(request.entriesSeen());
        boolean sendsRouting = request.needsRouting() && version >= 0;
        Follower follower = followers.get(request.host());
        long reportedUntilNanos = follower.heartbeatsReportedUntilNanos;
        follower.heartbeatsReportedUntilNanos = now;
        return new FollowAnswer(
                epoch,
                (now - startedAtNanos) / NANOS_PER_MILLI,
                servers.changesSince(full ? 0 : request.serversSeen(), now),
                servers.lastChange(),
                isEntry
                        ? List.of()
                        : servers.localHeartbeatsSince(
                                full ? now - TOMBSTONE_RETENTION_NANOS : reportedUntilNanos, now),
                entriesChanged && !deltas ? entries.all() : null,
                deltas ? entries.changesSince(request.entriesSeen()) : List.of(),
                entries.lastChange(),
                controlHosts.get(),
                version,
                sendsRouting && !request.acceptsPackedUpdates() ? routing.current() : null,
                sendsRouting && request.acceptsPackedUpdates() ? routing.packed() : null,
                unconfirmedMillis(now),
                quarantine.newsSince(full ? 0 : request.quarantineSeen()),
                request.lacksEvacuation(versions.evacuationVersion()) ? evacuations.current() : null);
    }

    /** What the live entries last reported on evacuations. */
    synchronized List<EvacuationFollower> evacuationFollowers() {
        long now = clock.nanos();
        List<EvacuationFollower> live = new ArrayList<>();
        followers.forEach((host, each) -> {
            if (each.isEntry && now - each.aliveUntilNanos < 0) {
                live.add(new EvacuationFollower(host, each.evacuationProgress));
            }
        });
        return live;
    }

    private long unconfirmedMillis(long now) {
        if (routing.isConfirmed()) {
            confirmedNanos = now;
            return 0;
        }
        return Math.max(1, (now - confirmedNanos) / NANOS_PER_MILLI);
    }

    private void completePropagations(long now, List<Runnable> completions) {
        Iterator<Propagation> each = propagations.iterator();
        while (each.hasNext()) {
            Propagation propagation = each.next();
            boolean expired = now - propagation.expiresAtNanos() >= 0;
            if (expired || hasReachedAllEntries(propagation.changeNumber(), now)) {
                each.remove();
                boolean acknowledged = routing.hasQuorum();
                completions.add(() -> propagation.done().complete(acknowledged));
            }
        }
    }

    private boolean hasReachedAllEntries(long number, long now) {
        for (Follower each : followers.values()) {
            boolean alive = each.isEntry && now - each.aliveUntilNanos < 0;
            if (alive && each.serversSeen < number) {
                return false;
            }
        }
        return true;
    }
}
