package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;
import org.elmline.core.engine.EngineLoad;
import org.elmline.core.group.GroupPlan;
import org.elmline.core.group.GroupReservation;
import org.elmline.core.ledger.LedgerSettings;
import org.elmline.core.owner.Owner;
import org.elmline.core.owner.OwnerDecision;
import org.elmline.core.owner.OwnerSettings;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.PrefillCost;
import org.elmline.core.route.FirstToken;
import org.elmline.core.route.Grant;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.OwnerTableSettings;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.Release;
import org.elmline.core.route.ReleaseCause;
import org.elmline.standin.engine.CacheEventLog;

/**
 * Schedules with the owner of the daemons, with its admission, ledger and groups, over all engines of the fleet.
 * Engines announce themselves every second; the owner detects a failed engine by failed calls or by the expiry of its
 * lease. A refused request is not retried.
 */
final class OwnerScheduler implements Scheduler {
    private static final ModelName MODEL = ModelName.of("elm");
    private static final Address ADDRESS = new Address("127.0.0.1", 9_000);
    private static final Incarnation FIRST_INCARNATION = Incarnation.of(1);
    private static final HostId HOST = HostId.of("entry-1");
    private static final int TICKS_PER_ANNOUNCEMENT = 10;
    private static final int TICKS_PER_GROUP_ATTEMPT = 5;
    private static final long CACHE_DELAY_NANOS = 500_000_000L;
    private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.000_2;
    private static final double IMPORT_SHARE = 0;

    private final Scenario scenario;
    private final Owner owner;
    private final OwnerTable ownerTable;
    private final CacheEventLog[] cacheEvents;
    private final long[] incarnations;
    private final boolean[] running;
    private final Map<AttemptId, Job> pendingJobs = new HashMap<>();
    private final Map<Long, AttemptId> attemptsBySequence = new HashMap<>();
    private final Map<Long, Long> kvTokensBySequence = new HashMap<>();
    private final Set<Long> awaitingFirstToken = new HashSet<>();
    private final Map<Job, PlaceRequest> waitingGroups = new LinkedHashMap<>();
    private final List<Decision> decisions = new ArrayList<>();
    private long lastSequence;
    private int ticks;

    OwnerScheduler(Scenario scenario, PlacementPolicy policy) {
        this.scenario = scenario;
        HostRecord host = new HostRecord(
                HOST, FIRST_INCARNATION, FailureDomain.of("a"), Region.of("north"), ADDRESS, ADDRESS, ADDRESS, false);
        OwnerSettings settings = OwnerSettings.builder()
                .ledger(new LedgerSettings(
                        scenario.settings(), scenario.profile().blockTokens()))
                .build();
        owner = new Owner(host, policy, new Random(scenario.seed()), settings);
        owner.leaseUntil(Long.MAX_VALUE);
        owner.members(List.of(host), 0);
        ownerTable = new OwnerTable(host, OwnerTableSettings.DEFAULT);
        ownerTable.members(List.of(host));
        cacheEvents = new CacheEventLog[scenario.engines()];
        incarnations = new long[scenario.engines()];
        running = new boolean[scenario.engines()];
    }

    @Override
    public void submit(Job job, long now) {
        AttemptId attempt = AttemptId.of("job-" + job.number + "-" + job.placements + "-" + job.failedServers.size());
        Demand demand = new Demand(
                MODEL,
                "",
                job.promptTokens(),
                job.outputTokens(),
                job.arrival.blockHashes(),
                0,
                Math.max(0, (job.deadlineNanos() - now) / 1_000_000),
                job.failedServers);
        OrganisationId organisation = OrganisationId.of("organisation-" + job.arrival.organisation());
        PlaceRequest request = new PlaceRequest(attempt, HOST, FIRST_INCARNATION, organisation, demand);
        if (demand.kvTokens() > scenario.profile().capacityKvTokens()) {
            waitingGroups.put(job, request);
            tryPlaceGroup(job, now);
            return;
        }
        pendingJobs.put(attempt, job);
        owner.place(request, now).ifPresent(answer -> onAnswer(request, answer));
    }

    @Override
    public List<Decision> takeDecisions(long now) {
        for (OwnerDecision each : owner.advance(now)) {
            onAnswer(each.request(), each.answer());
        }
        List<Decision> taken = List.copyOf(decisions);
        decisions.clear();
        return taken;
    }

    @Override
    public void tick(long now) {
        for (int i = 0; i < running.length; i++) {
            if (running[i] && ticks % TICKS_PER_ANNOUNCEMENT == 0) {
                owner.announce(announcement(i), now);
            }
            if (running[i]) {
                BackendServerId id = id(i);
                owner.applyCacheEvents(id, cacheEvents[i].after(owner.lastCacheSequence(id), now));
            }
        }
        if (ticks % TICKS_PER_GROUP_ATTEMPT == 0) {
            List.copyOf(waitingGroups.keySet()).forEach(job -> tryPlaceGroup(job, now));
        }
        ticks++;
    }

    @Override
    public void cancel(Job job, long now) {
        waitingGroups.remove(job);
        for (Map.Entry<AttemptId, Job> each : List.copyOf(pendingJobs.entrySet())) {
            if (each.getValue() == job) {
                pendingJobs.remove(each.getKey());
                report(List.of(), List.of(), List.of(new Release(each.getKey(), ReleaseCause.NOT_STARTED)), now);
            }
        }
    }

    @Override
    public void prefillStarted(Job.PlacedSegment placed, long now) {
        AttemptId attempt = attemptsBySequence.get(placed.sequence());
        boolean segment = attempt.value().contains("/");
        if (segment) {
            report(List.of(attempt), List.of(), List.of(), now);
        }
    }

    @Override
    public void prefillFinished(Job.PlacedSegment placed, long now) {
        if (awaitingFirstToken.remove(placed.sequence())) {
            report(List.of(), List.of(new FirstToken(attemptsBySequence.get(placed.sequence()), 0)), List.of(), now);
        }
    }

    @Override
    public void released(Job.PlacedSegment placed, boolean engineLost, long now) {
        awaitingFirstToken.remove(placed.sequence());
        kvTokensBySequence.remove(placed.sequence());
        ReleaseCause cause = engineLost ? ReleaseCause.ENGINE_FAILED : ReleaseCause.FINISHED;
        report(List.of(), List.of(), List.of(new Release(attemptsBySequence.remove(placed.sequence()), cause)), now);
    }

    @Override
    public void engineStarted(int engine, long now) {
        incarnations[engine]++;
        running[engine] = true;
        cacheEvents[engine] =
                new CacheEventLog(CACHE_DELAY_NANOS, CACHE_EVENT_LOSS_PROBABILITY, scenario.seed() + engine);
        owner.announce(announcement(engine), now);
    }

    @Override
    public void engineStopped(int engine, long now) {
        running[engine] = false;
    }

    @Override
    public void cacheChanged(int engine, long hash, boolean stored, long atNanos) {
        cacheEvents[engine].add(hash, stored, atNanos);
    }

    /**
     * Number of unreleased segments plus the number of the owner's open grants, so that a grant that only the owner
     * still holds is detected.
     */
    @Override
    public long reservedAmount() {
        return kvTokensBySequence.size() + owner.counts().openGrants();
    }

    private void onAnswer(PlaceRequest request, OwnerPlaceAnswer answer) {
        Job job = pendingJobs.remove(request.attempt());
        if (job == null) {
            return;
        }
        if (answer instanceof OwnerPlaceAnswer.Placed placed) {
            decisions.add(new Decision(job, List.of(addSegment(job, placed.grant(), job.outputTokens(), 0))));
        } else {
            decisions.add(new Decision(job, List.of()));
        }
    }

    private void tryPlaceGroup(Job job, long now) {
        PlaceRequest groupRequest = waitingGroups.get(job);
        ownerTable.accept(owner.summary(now), now);
        Optional<GroupPlan> plan = GroupPlan.of(
                job.promptTokens(),
                job.outputTokens(),
                ownerTable.groupSlots(MODEL, now),
                IMPORT_SHARE,
                PrefillCost.DEFAULT);
        if (plan.isEmpty()) {
            return;
        }
        PlaceRequest attempt = new PlaceRequest(
                AttemptId.of(groupRequest.attempt().value() + "-" + ticks),
                HOST,
                FIRST_INCARNATION,
                groupRequest.organisation(),
                groupRequest.demand());
        GroupReservation reservation = new GroupReservation(attempt, plan.get());
        for (Optional<GroupReservation.OwnerCall> call = reservation.nextCall();
                call.isPresent();
                call = reservation.nextCall()) {
            Optional<OwnerPlaceAnswer> answer = owner.place(call.get().request(), now);
            answer.ifPresentOrElse(reservation::onAnswer, reservation::onNoAnswer);
        }
        if (!reservation.isComplete()) {
            List<Release> releases = new ArrayList<>();
            reservation.releases().forEach(each -> releases.add(new Release(each.attempt(), ReleaseCause.NOT_STARTED)));
            report(List.of(), List.of(), releases, now);
            return;
        }
        waitingGroups.remove(job);
        List<Job.PlacedSegment> placed = new ArrayList<>();
        for (int i = 0; i < reservation.grants().size(); i++) {
            boolean last = i == reservation.grants().size() - 1;
            int context = plan.get().segments().get(i).contextTokens();
            placed.add(addSegment(job, reservation.grants().get(i), last ? job.outputTokens() : 0, context));
        }
        decisions.add(new Decision(job, placed));
    }

    private Job.PlacedSegment addSegment(Job job, Grant grant, int outputTokens, long contextTokens) {
        Job.PlacedSegment placed = new Job.PlacedSegment(
                index(grant.server()),
                ++lastSequence,
                job.arrival.lengthClass(),
                grant.promptTokens(),
                outputTokens,
                contextTokens);
        attemptsBySequence.put(placed.sequence(), grant.attempt());
        kvTokensBySequence.put(placed.sequence(), grant.kvTokens());
        awaitingFirstToken.add(placed.sequence());
        return placed;
    }

    private void report(List<AttemptId> begun, List<FirstToken> firstTokens, List<Release> releases, long now) {
        owner.report(new GrantReport(HOST, FIRST_INCARNATION, begun, firstTokens, releases), now);
    }

    private Announcement announcement(int engine) {
        return new Announcement(
                id(engine),
                Incarnation.of(incarnations[engine]),
                BackendKind.ENGINE,
                "standin",
                ADDRESS,
                FailureDomain.of("a"),
                Region.of("north"),
                List.of(MODEL.value()),
                List.of("1"),
                List.of(),
                "",
                scenario.profile().capacityKvTokens(),
                scenario.profile().prefillTokensPerSecond(),
                new EngineLoad(0, 0, 0),
                false,
                false);
    }

    private static BackendServerId id(int engine) {
        return BackendServerId.of("engine-" + engine);
    }

    private static int index(BackendServerId id) {
        return Integer.parseInt(id.value().substring("engine-".length()));
    }
}
