package org.elmline.core.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.elmline.core.admission.TimingWheel;
import org.elmline.core.backend.AnnounceAnswer;
import org.elmline.core.backend.AnnounceResult;
import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.backend.ServerTable;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.ServiceName;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.Organisation;
import org.elmline.core.control.HostRecord;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.StreamInfo;
import org.elmline.core.ledger.EngineLedger;
import org.elmline.core.ledger.Ledger;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.route.AuditAnswer;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.route.FirstToken;
import org.elmline.core.route.Grant;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.GrantReportAnswer;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.Ownership;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.RegisterAnswer;
import org.elmline.core.route.RegisterGrants;
import org.elmline.core.route.Release;
import org.elmline.core.route.ServiceReplica;
import org.elmline.core.stream.Cancel;
import org.elmline.core.stream.CancelQueue;
import org.elmline.core.stream.LiveHosts;
import org.elmline.core.stream.OrphanFinder;

/**
 * One entry as the owner of its backend servers. All methods may be called from any thread; one lock guards all state,
 * is held for microseconds, and no other lock is taken under it. Times are nanoseconds of one monotonic clock.
 *
 * <p>Call {@link #advance} several times a second, and after each report, to receive the answers of queued requests.
 */
public final class Owner {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long TICK_NANOS = 20 * NANOS_PER_MILLI;
    private static final int WHEEL_SLOTS = 512;
    private static final int FALLBACK_ADDRESSES = 3;
    private static final long NO_ENGINE_RETRY_MILLIS = 1_000;
    private static final long NO_LEASE_RETRY_MILLIS = 500;

    private final HostRecord self;
    private final OwnerSettings settings;
    private final PlacementPolicy policy;
    private final RandomGenerator random;
    private final ServerTable servers;
    private final Ledger ledger;
    private final Map<ModelName, ModelPlacer> placers = new HashMap<>();
    private final TimingWheel<AttemptId> deadlines = new TimingWheel<>(TICK_NANOS, WHEEL_SLOTS);
    private final Map<AttemptId, ModelName> waiting = new HashMap<>();
    private final List<OwnerDecision> undeliveredDecisions = new ArrayList<>();
    private final CancelQueue cancels = new CancelQueue();
    private final LostHosts lostHosts;
    private final OrphanFinder orphans;
    private final PendingAudits pendingAudits = new PendingAudits();
    private Configuration configuration = Configuration.EMPTY;
    private Ownership ownership = new Ownership(List.of());
    private LiveHosts hosts = new LiveHosts(List.of());
    private boolean membersReceived;
    private long leaseUntil;
    private boolean leaseHeld;
    private boolean leaving;
    private long sequence;
    private long placed;
    private long refused;
    private long reclaimed;
    private long unknownReports;

    public Owner(HostRecord self, PlacementPolicy policy, RandomGenerator random, OwnerSettings settings) {
        this.self = self;
        this.policy = policy;
        this.random = random;
        this.settings = settings;
        this.servers = new ServerTable(settings.leaseMillis());
        this.ledger = new Ledger(settings.ledger());
        this.lostHosts = new LostHosts(settings.orphanGraceMillis() * NANOS_PER_MILLI);
        this.orphans = new OrphanFinder(settings.orphanGraceMillis() * NANOS_PER_MILLI);
    }

    /**
     * Sets the end of this host's lease, after which the owner places nothing. An owner starts without a lease and
     * places nothing until this method is called.
     */
    public synchronized void leaseUntil(long nanos) {
        leaseUntil = nanos;
        leaseHeld = true;
    }

    /** Sets the configuration, which holds the organisations' weights. */
    public synchronized void configure(Configuration next) {
        configuration = next;
    }

    /** Sets the live entries. Grants of a host that stays missing are cancelled on their engines, then freed. */
    public synchronized void members(Collection<HostRecord> members, long now) {
        ownership = new Ownership(members);
        hosts = new LiveHosts(members);
        membersReceived = true;
        reclaimFromLostHosts(now);
    }

    /** Refuses new work from now on; open grants continue. */
    public synchronized void leave(long now) {
        leaving = true;
        Refusal refusal = Refusal.retryLater(RefusalReason.LEAVING, "this entry is stopping", NO_LEASE_RETRY_MILLIS);
        placers.values().forEach(each -> each.refuseAll(refusal, now));
        placers.forEach((model, placer) -> collectDecisions(placer));
    }

    /** Takes over a backend server, or renews its lease. */
    public synchronized AnnounceAnswer announce(Announcement announcement, long now) {
        AnnounceResult result = servers.announce(announcement, now);
        if (result.accepted() && announcement.kind() == BackendKind.ENGINE) {
            if (result == AnnounceResult.RESTARTED) {
                cancels.removeServer(announcement.id());
                orphans.removeServer(announcement.id());
            }
            ledger.announce(announcement, now);
            ledger.models().forEach(each -> placers.computeIfAbsent(each, this::newPlacer));
        }
        return new AnnounceAnswer(
                settings.announceIntervalMillis(), settings.leaseMillis(), announceAddresses(announcement));
    }

    /**
     * Places a request. Empty when it is queued; its answer then comes from {@link #advance}, at its deadline at the
     * latest.
     */
    public synchronized Optional<OwnerPlaceAnswer> place(PlaceRequest request, long now) {
        if (waiting.containsKey(request.attempt())) {
            return Optional.empty();
        }
        Optional<OwnerPlaceAnswer> known = immediateAnswer(request, now);
        if (known.isPresent()) {
            return known;
        }
        ModelName model = request.demand().model();
        ModelPlacer placer = placers.get(model);
        placer.add(request, weight(request), now);
        collectDecisions(placer);
        Optional<OwnerPlaceAnswer> answer = removeDecision(request.attempt());
        if (answer.isPresent()) {
            return answer;
        }
        waiting.put(request.attempt(), model);
        deadlines.set(request.attempt(), now + request.demand().remainingMillis() * NANOS_PER_MILLI, now);
        return Optional.empty();
    }

    /** Records segments begun, first tokens and releases; a release of a queued request removes it from the queue. */
    public synchronized GrantReportAnswer report(GrantReport report, long now) {
        int unknown = 0;
        for (AttemptId each : report.begun()) {
            unknown += ledger.beginPrefill(each, now) ? 0 : 1;
        }
        for (FirstToken each : report.firstTokens()) {
            unknown += ledger.onFirstToken(each.attempt(), now) ? 0 : 1;
        }
        for (Release each : report.releases()) {
            unknown += release(each, now) ? 0 : 1;
        }
        unknownReports += unknown;
        return new GrantReportAnswer(unknown);
    }

    /** Reserves what another owner granted before this one took over its engine. */
    public synchronized RegisterAnswer register(RegisterGrants request, long now) {
        List<AttemptId> notOwned = new ArrayList<>();
        for (Grant each : request.grants()) {
            boolean held = ledger.grant(each.attempt()).isPresent() || ledger.wasReleased(each.attempt());
            if (!held && !ledger.reserve(each, List.of(), 0, now)) {
                notOwned.add(each.attempt());
            }
        }
        return new RegisterAnswer(notOwned);
    }

    /**
     * Advances the clock: expires leases and queued requests, and places requests. Returns the answers decided since
     * the last call.
     */
    public synchronized List<OwnerDecision> advance(long now) {
        for (Announcement each : servers.expire(now)) {
            ledger.markUnreachable(each.id());
        }
        ledger.updateSpeedBounds(now);
        long grace = settings.reclaimGraceMillis() * NANOS_PER_MILLI;
        reclaim(ledger.overdueGrants(now, grace), now);
        reclaimFromLostHosts(now);
        removeLostEngines(now, 2 * grace);
        for (AttemptId each : deadlines.expire(now)) {
            placers.get(waiting.get(each)).expire(each, now);
        }
        for (ModelPlacer each : placers.values()) {
            each.place(now);
            each.refuseInfeasible(now);
            collectDecisions(each);
        }
        List<OwnerDecision> decided = List.copyOf(undeliveredDecisions);
        undeliveredDecisions.clear();
        return decided;
    }

    /**
     * Processes an engine's own listing of what it holds, which shows what a lost entry left there. Returns the
     * requests to send to live entries: a call cancelled by its entry may still have reached the engine, after the
     * cancel did. Their answers go to {@link #onAuditAnswer}.
     */
    public synchronized List<AuditRequest> onEngineListing(
            BackendServerId server, List<StreamInfo> streams, List<KvExport> exports, long now) {
        if (!membersReceived) {
            return List.of();
        }
        Predicate<AttemptId> registered = id -> ledger.grant(id).isPresent();
        OrphanFinder.Findings found = orphans.find(server, streams, exports, hosts, registered, now);
        found.orphans().forEach(each -> cancels.add(each, now));
        ledger.updateUnregisteredKvTokens(server, unregisteredKvTokens(streams, exports, registered));
        pendingAudits.removeServer(server);
        return pendingAudits.createRequests(found.unregistered());
    }

    /** Processes an entry's answer with the attempts that it is not running. */
    public synchronized void onAuditAnswer(AuditRequest request, AuditAnswer answer, long now) {
        for (Cancel each : pendingAudits.resolve(request, answer)) {
            if (ledger.grant(each.attempt()).isEmpty()) {
                cancels.add(each, now);
            }
        }
    }

    /** Returns the cancels to send to engines now; each is repeated until {@link #onCancelAcknowledged}. */
    public synchronized List<Cancel> cancels(long now) {
        return cancels.due(now);
    }

    /** Records that the engine holds nothing for the cancel any more. */
    public synchronized void onCancelAcknowledged(Cancel cancel, long now) {
        if (cancels.acknowledge(cancel) && !cancel.targetsExport()) {
            ledger.release(cancel.attempt(), false, now);
        }
    }

    public synchronized void applyCacheEvents(BackendServerId server, CacheEvents events) {
        ledger.applyCacheEvents(server, events);
    }

    /** Returns the summary to send to every entry. */
    public synchronized OwnerSummary summary(long now) {
        List<ModelSummary> models = new ArrayList<>();
        for (ModelName each : ledger.models()) {
            summary(each, now).ifPresent(models::add);
        }
        List<Integer> owned = servers.ids().stream().map(Ownership::shortHash).toList();
        return new OwnerSummary(self.id(), self.incarnation(), ++sequence, owned, models, serviceReplicas());
    }

    public synchronized Optional<ModelSummary> summary(ModelName model, long now) {
        return Optional.ofNullable(placers.get(model)).flatMap(each -> each.summary(now));
    }

    /** The engines with a live lease, for the daemon to read cache events from and list streams on. */
    public synchronized List<Announcement> engines() {
        return servers.ofKind(BackendKind.ENGINE);
    }

    /** Every backend server with a live lease. */
    public synchronized List<Announcement> servers() {
        return servers.all();
    }

    /** Sequence number of the last cache event applied for an engine; 0 for an unknown engine. */
    public synchronized long lastCacheSequence(BackendServerId server) {
        return ledger.engine(server).map(EngineLedger::lastCacheSequence).orElse(0L);
    }

    /** Figures for operators. */
    public synchronized OwnerCounts counts() {
        return new OwnerCounts(
                servers.counts(),
                ledger.engines().size(),
                ledger.openGrants(),
                waiting.size(),
                cancels.size(),
                placed,
                refused,
                reclaimed,
                unknownReports);
    }

    private Optional<OwnerPlaceAnswer> immediateAnswer(PlaceRequest request, long now) {
        AttemptId attempt = request.attempt();
        Optional<Grant> held = ledger.grant(attempt);
        if (held.isPresent()) {
            ModelSummary summary = summary(request.demand().model(), now).orElse(null);
            return held.map(grant -> new OwnerPlaceAnswer.Placed(grant, summary));
        }
        if (ledger.wasReleased(attempt)) {
            return refused(Refusal.didNotRun(RefusalReason.DEADLINE, "the attempt was released already"), request, now);
        }
        // A host partitioned from the control hosts may no longer be an engine's only owner; two that place on it would
        // overfill it.
        if (!leaseHeld || now - leaseUntil >= 0) {
            String why = "this entry holds no lease";
            return refused(Refusal.retryLater(RefusalReason.NO_LEASE, why, NO_LEASE_RETRY_MILLIS), request, now);
        }
        if (leaving) {
            String why = "this entry is stopping";
            return refused(Refusal.retryLater(RefusalReason.LEAVING, why, NO_LEASE_RETRY_MILLIS), request, now);
        }
        if (!placers.containsKey(request.demand().model())) {
            String why = "no engine here serves " + request.demand().model();
            return refused(
                    Refusal.retryLater(RefusalReason.NO_BACKEND_SERVER, why, NO_ENGINE_RETRY_MILLIS), request, now);
        }
        return removeDecision(attempt);
    }

    private Optional<OwnerPlaceAnswer> refused(Refusal refusal, PlaceRequest request, long now) {
        refused++;
        ModelSummary summary = summary(request.demand().model(), now).orElse(null);
        return Optional.of(new OwnerPlaceAnswer.Refused(refusal, summary));
    }

    private Optional<OwnerPlaceAnswer> removeDecision(AttemptId attempt) {
        for (int i = 0; i < undeliveredDecisions.size(); i++) {
            if (undeliveredDecisions.get(i).request().attempt().equals(attempt)) {
                return Optional.of(undeliveredDecisions.remove(i).answer());
            }
        }
        return Optional.empty();
    }

    private void collectDecisions(ModelPlacer placer) {
        for (OwnerDecision each : placer.drainDecisions()) {
            waiting.remove(each.request().attempt());
            deadlines.cancel(each.request().attempt());
            placed += each.answer() instanceof OwnerPlaceAnswer.Placed ? 1 : 0;
            refused += each.answer() instanceof OwnerPlaceAnswer.Refused ? 1 : 0;
            undeliveredDecisions.add(each);
        }
    }

    /**
     * KV tokens of an engine's streams and exports without a grant here. After a change of owner the engine still
     * serves what the old owner granted; without counting it, the new owner would grant memory that is in use. Exports
     * of live hosts are left out: segments reserve their imports.
     */
    private long unregisteredKvTokens(
            List<StreamInfo> streams, List<KvExport> exports, Predicate<AttemptId> registered) {
        long tokens = 0;
        for (StreamInfo each : streams) {
            tokens += registered.test(each.attempt()) ? 0 : each.kvTokens();
        }
        for (KvExport each : exports) {
            boolean orphaned = hosts.hasEnded(each.host(), each.incarnation()) && !registered.test(each.attempt());
            tokens += orphaned ? each.tokens() : 0;
        }
        return tokens;
    }

    private boolean release(Release release, long now) {
        ModelName model = waiting.remove(release.attempt());
        if (model != null) {
            deadlines.cancel(release.attempt());
            placers.get(model).withdraw(release.attempt());
            ledger.release(release.attempt(), false, now);
            return true;
        }
        Optional<Grant> released =
                ledger.release(release.attempt(), release.cause().engineFault(), now);
        released.ifPresent(grant -> cancels.acknowledge(Cancel.stream(grant.server(), grant.attempt())));
        return released.isPresent();
    }

    private Set<LostHosts.HostIncarnation> grantHolders() {
        Set<LostHosts.HostIncarnation> holders = new HashSet<>();
        ledger.forEachGrant(grant -> holders.add(new LostHosts.HostIncarnation(grant.host(), grant.incarnation())));
        return holders;
    }

    private void reclaimFromLostHosts(long now) {
        if (membersReceived) {
            lostHosts.update(grantHolders(), hosts, now);
            if (lostHosts.hasLost()) {
                reclaim(ledger.grants(lostHosts::isHolderLost), now);
            }
        }
    }

    /** Cancels grants on their engines. Their memory stays reserved until the engine has acknowledged the cancel. */
    private void reclaim(List<Grant> grants, long now) {
        for (Grant each : grants) {
            Cancel cancel = Cancel.stream(each.server(), each.attempt());
            if (!cancels.contains(cancel)) {
                cancels.add(cancel, now);
                reclaimed++;
            }
        }
    }

    private void removeLostEngines(long now, long grace) {
        List<BackendServerId> lost = new ArrayList<>();
        for (EngineLedger each : ledger.engines()) {
            if (!each.reachable() && each.areAllGrantsOverdue(now, grace)) {
                lost.add(each.id());
            }
        }
        for (BackendServerId each : lost) {
            ledger.removeEngine(each);
            cancels.removeServer(each);
            orphans.removeServer(each);
        }
    }

    private ModelPlacer newPlacer(ModelName model) {
        return new ModelPlacer(model, ledger, policy, random, settings);
    }

    private int weight(PlaceRequest request) {
        return configuration
                .organisation(request.organisation())
                .map(Organisation::weight)
                .orElse(1);
    }

    private List<Address> announceAddresses(Announcement announcement) {
        List<Address> addresses = new ArrayList<>();
        addresses.add(self.callers());
        for (HostRecord each : ownership.candidates(announcement)) {
            if (!each.id().equals(self.id()) && addresses.size() <= FALLBACK_ADDRESSES) {
                addresses.add(each.callers());
            }
        }
        return addresses;
    }

    private List<ServiceReplica> serviceReplicas() {
        List<ServiceReplica> services = new ArrayList<>();
        for (Announcement each : servers.ofKind(BackendKind.SERVICE)) {
            if (each.leaving()) {
                continue;
            }
            for (String name : each.names()) {
                services.add(new ServiceReplica(ServiceName.of(name), each.id(), each.incarnation(), each.address()));
            }
        }
        return services;
    }
}
