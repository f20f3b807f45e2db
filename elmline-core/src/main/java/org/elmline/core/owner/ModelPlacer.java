package org.elmline.core.owner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.elmline.core.admission.AdmissionQueue;
import org.elmline.core.admission.QueuedRequest;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.fairness.VirtualCounters;
import org.elmline.core.ledger.EngineLedger;
import org.elmline.core.ledger.Ledger;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.route.Grant;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;

/**
 * Admits and places the requests for one model. A request is placed when an engine has free memory for it and a short
 * enough prefill backlog; otherwise it is queued here, where its turn still depends on its priority and organisation,
 * rather than in an engine, where it would not. One that can't meet its deadline is refused as soon as this is
 * predicted. Not thread-safe.
 */
final class ModelPlacer {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_RETRY_MILLIS = 250;
    private static final long NO_ENGINE_RETRY_MILLIS = 1_000;
    private static final long MAX_COOLDOWN_WAIT_MILLIS = 1_000;
    private static final long SUMMARY_CACHE_NANOS = 20 * NANOS_PER_MILLI;
    private static final int MAX_SUMMARY_PREFIXES = 16;

    private final ModelName model;
    private final Ledger ledger;
    private final PlacementPolicy policy;
    private final RandomGenerator random;
    private final OwnerSettings settings;
    private final AdmissionQueue queue;
    private final VirtualCounters counters = new VirtualCounters();
    private final List<OwnerDecision> decisions = new ArrayList<>();
    private long arrivals;
    private ModelSummary cachedSummary;
    private long cachedSummaryAtNanos;
    private boolean summaryCached;

    ModelPlacer(
            ModelName model, Ledger ledger, PlacementPolicy policy, RandomGenerator random, OwnerSettings settings) {
        this.model = model;
        this.ledger = ledger;
        this.policy = policy;
        this.random = random;
        this.settings = settings;
        this.queue = new AdmissionQueue(settings.queueCapacity());
    }

    /** Adds a request; its answer, if it is decided at once, is among {@link #drainDecisions}. */
    void add(PlaceRequest request, int weight, long now) {
        ledger.advanceClock(model, now);
        Demand demand = request.demand();
        long work = settings.ledger().cost().costTokens(demand.promptTokens(), 0);
        double start = counters.charge(request.organisation(), weight, demand.kvTokens());
        long deadline = now + demand.remainingMillis() * NANOS_PER_MILLI;
        QueuedRequest waiting =
                new QueuedRequest(request, weight, work, demand.kvTokens(), start, deadline, arrivals++);
        Optional<QueuedRequest> shed = queue.add(waiting);
        shed.ifPresent(each -> refuse(each, overloadedRefusal(each, "queue is full", now), now));
        place(now);
        if (isQueued(request.attempt()) && !request.mode().mayWait()) {
            refuse(waiting, overloadedRefusal(waiting, "no engine has the memory now", now), now);
        }
        if (isQueued(request.attempt())) {
            refuseIfInfeasible(waiting, queue.costTokensAhead(waiting), now);
        }
    }

    boolean isQueued(AttemptId attempt) {
        return queue.find(attempt).isPresent();
    }

    /** Removes a queued request without a decision on it; false when it is not queued. */
    boolean withdraw(AttemptId attempt) {
        Optional<QueuedRequest> waiting = queue.find(attempt);
        waiting.ifPresent(this::removeAndRefund);
        return waiting.isPresent();
    }

    void expire(AttemptId attempt, long now) {
        queue.find(attempt).ifPresent(each -> refuse(each, deadlineRefusal(), now));
    }

    /** Places the requests that have capacity now, in queue order. */
    void place(long now) {
        ledger.advanceClock(model, now);
        Set<AdmissionQueue.QueueKey> blocked = new HashSet<>();
        Optional<QueuedRequest> next = queue.next(blocked);
        while (next.isPresent()) {
            if (!tryPlace(next.get(), now)) {
                blocked.add(AdmissionQueue.QueueKey.of(next.get()));
            }
            next = queue.next(blocked);
        }
        if (queue.size() == 0) {
            counters.reset();
        }
    }

    /** Refuses every queued request that can no longer meet its deadline, so that its entry can try another owner. */
    void refuseInfeasible(long now) {
        long[] work = new long[LengthClass.values().length];
        for (QueuedRequest each : queue.inPlacementOrder()) {
            int index = each.lengthClass().ordinal();
            refuseIfInfeasible(each, Arrays.stream(work, 0, index + 1).sum(), now);
            work[index] += isQueued(each.request().attempt()) ? each.costTokens() : 0;
        }
    }

    void refuseAll(Refusal refusal, long now) {
        for (QueuedRequest each : queue.inPlacementOrder()) {
            refuse(each, refusal, now);
        }
    }

    List<OwnerDecision> drainDecisions() {
        List<OwnerDecision> drained = List.copyOf(decisions);
        decisions.clear();
        return drained;
    }

    int queueSize() {
        return queue.size();
    }

    /** Empty when no engine here serves the model. */
    Optional<ModelSummary> summary(long now) {
        ledger.advanceClock(model, now);
        List<EngineLedger> ready = readyEngines(now);
        if (ready.isEmpty()) {
            return Optional.empty();
        }
        long maxFreeKvTokens = 0;
        long totalFreeKvTokens = 0;
        Set<Integer> prefixes = new HashSet<>();
        for (EngineLedger each : ready) {
            maxFreeKvTokens = Math.max(maxFreeKvTokens, each.freeKvTokens());
            totalFreeKvTokens += Math.max(0, each.freeKvTokens());
            for (Long hash : each.recentFirstBlocks(MAX_SUMMARY_PREFIXES)) {
                if (prefixes.size() < MAX_SUMMARY_PREFIXES) {
                    prefixes.add(ModelSummary.shortHash(hash));
                }
            }
        }
        int speed = (int) Math.round(totalTokensPerSecond(ready) / ready.size());
        return Optional.of(new ModelSummary(
                model,
                ready.size(),
                waitMillisByClass(ready),
                speed,
                maxFreeKvTokens,
                totalFreeKvTokens,
                List.copyOf(prefixes)));
    }

    /**
     * Cached, because a summary visits every engine: computing it for each answer would cost more than the placement.
     */
    private ModelSummary recentSummary(long now) {
        if (!summaryCached || now - cachedSummaryAtNanos >= SUMMARY_CACHE_NANOS) {
            cachedSummary = summary(now).orElse(null);
            cachedSummaryAtNanos = now;
            summaryCached = true;
        }
        return cachedSummary;
    }

    private List<Integer> waitMillisByClass(List<EngineLedger> ready) {
        long[] queuedTokens = new long[LengthClass.values().length];
        for (QueuedRequest each : queue.inPlacementOrder()) {
            queuedTokens[each.lengthClass().ordinal()] += each.costTokens();
        }
        double speed = totalTokensPerSecond(ready);
        List<Integer> waitMillis = new ArrayList<>();
        for (LengthClass each : LengthClass.values()) {
            long shortest = ready.stream()
                    .mapToLong(engine -> engine.waitMillis(each))
                    .min()
                    .orElse(0);
            double queuedMillis =
                    Arrays.stream(queuedTokens, 0, each.ordinal() + 1).sum() * MILLIS_PER_SECOND / speed;
            waitMillis.add((int) Math.min(Integer.MAX_VALUE, shortest + Math.round(queuedMillis)));
        }
        return waitMillis;
    }

    /** True when the request was answered, false when it stays queued. */
    private boolean tryPlace(QueuedRequest waiting, long now) {
        Demand demand = waiting.request().demand();
        if (waiting.remainingMillis(now) <= 0) {
            refuse(waiting, deadlineRefusal(), now);
            return true;
        }
        List<EngineLedger> ready = readyEngines(demand, now);
        Optional<Refusal> unservable = ready.isEmpty() ? noEngineRefusal(demand, now) : tooLargeRefusal(demand, ready);
        if (unservable.isPresent()) {
            refuse(waiting, unservable.get(), now);
            return true;
        }
        Optional<EngineLedger> chosen = ready.isEmpty() ? Optional.empty() : choose(demand, ready);
        if (chosen.isEmpty()) {
            return false;
        }
        return tryPlaceOn(waiting, chosen.get(), ready, now);
    }

    private boolean tryPlaceOn(QueuedRequest waiting, EngineLedger chosen, List<EngineLedger> ready, long now) {
        Demand demand = waiting.request().demand();
        EngineLedger engine = chosen;
        if (engine.firstTokenMillis(demand) > waiting.remainingMillis(now)) {
            engine = fastest(demand, ready);
        }
        long predicted = engine.firstTokenMillis(demand);
        if (predicted > waiting.remainingMillis(now)) {
            refuse(waiting, overloadedRefusal(waiting, "no engine can answer before the deadline", now), now);
            return true;
        }
        if (engine.waitMillis(demand.lengthClass()) > settings.engineQueueMillis()) {
            return false;
        }
        grant(waiting, engine, predicted, now);
        return true;
    }

    private void grant(QueuedRequest waiting, EngineLedger engine, long predictedMillis, long now) {
        PlaceRequest request = waiting.request();
        Demand demand = request.demand();
        Grant grant = new Grant(
                request.attempt(),
                request.host(),
                request.incarnation(),
                request.organisation(),
                model,
                engine.id(),
                engine.announcement().incarnation(),
                engine.announcement().address(),
                engine.announcement().protocol(),
                demand.promptTokens(),
                demand.kvTokens(),
                engine.cachedTokens(demand),
                predictedMillis,
                waiting.remainingMillis(now),
                request.mode().startsPrefillOnGrant());
        if (!ledger.reserve(grant, demand.prefixHashes(), request.contextTokens(), now)) {
            throw new IllegalStateException(
                    "attempt " + request.attempt() + " is queued, but the ledger rejected its reservation");
        }
        queue.remove(waiting);
        counters.recordServed(waiting.virtualStart());
        decisions.add(new OwnerDecision(request, new OwnerPlaceAnswer.Placed(grant, recentSummary(now))));
    }

    private Optional<EngineLedger> choose(Demand demand, List<EngineLedger> ready) {
        return policy.choose(demand, Collections.unmodifiableList(ready), random)
                .map(EngineLedger.class::cast)
                .filter(engine -> engine.freeKvTokens() >= demand.kvTokens());
    }

    private static EngineLedger fastest(Demand demand, List<EngineLedger> ready) {
        EngineLedger best = null;
        for (EngineLedger each : ready) {
            boolean fits = each.freeKvTokens() >= demand.kvTokens();
            if (fits && (best == null || each.firstTokenMillis(demand) < best.firstTokenMillis(demand))) {
                best = each;
            }
        }
        return best;
    }

    /** Empty when an engine's cooldown is so short that waiting for it is better than trying another owner. */
    private Optional<Refusal> noEngineRefusal(Demand demand, long now) {
        long shortestCooldown = Long.MAX_VALUE;
        for (EngineLedger each : ledger.engines(model)) {
            if (each.isAvailable() && canServe(each, demand)) {
                shortestCooldown = Math.min(shortestCooldown, each.cooldownMillis(now));
            }
        }
        if (shortestCooldown <= MAX_COOLDOWN_WAIT_MILLIS) {
            return Optional.empty();
        }
        long retryMillis = shortestCooldown == Long.MAX_VALUE ? NO_ENGINE_RETRY_MILLIS : shortestCooldown;
        String why = "no engine takes work for " + model;
        return Optional.of(Refusal.retryLater(RefusalReason.NO_BACKEND_SERVER, why, retryMillis));
    }

    private static boolean canServe(EngineLedger engine, Demand demand) {
        return engine.hasAdapter(demand.adapter()) && !demand.excluded().contains(engine.id());
    }

    /** The refusal when no engine here has enough memory for the demand, even when idle; empty otherwise. */
    private static Optional<Refusal> tooLargeRefusal(Demand demand, List<EngineLedger> ready) {
        for (EngineLedger each : ready) {
            if (each.capacityKvTokens() >= demand.kvTokens()) {
                return Optional.empty();
            }
        }
        return Optional.of(Refusal.didNotRun(
                RefusalReason.TOO_LARGE, demand.kvTokens() + " tokens are more than any engine of this owner holds"));
    }

    private List<EngineLedger> readyEngines(Demand demand, long now) {
        List<EngineLedger> ready = new ArrayList<>();
        for (EngineLedger each : ledger.engines(model)) {
            if (each.acceptsWork(now) && canServe(each, demand)) {
                ready.add(each);
            }
        }
        return ready;
    }

    private List<EngineLedger> readyEngines(long now) {
        return ledger.engines(model).stream()
                .filter(each -> each.acceptsWork(now))
                .toList();
    }

    private void refuseIfInfeasible(QueuedRequest waiting, long workAhead, long now) {
        long predicted = predictedMillis(waiting, workAhead, now);
        if (predicted > waiting.remainingMillis(now)) {
            refuse(waiting, overloadedRefusal(waiting, "the queue is longer than the time left", now), now);
        }
    }

    private long predictedMillis(QueuedRequest waiting, long workAhead, long now) {
        Demand demand = waiting.request().demand();
        List<EngineLedger> ready = readyEngines(demand, now);
        if (ready.isEmpty()) {
            return 0;
        }
        long best = ready.stream()
                .mapToLong(each -> each.firstTokenMillis(demand))
                .min()
                .getAsLong();
        return best + Math.round(workAhead * MILLIS_PER_SECOND / totalTokensPerSecond(ready));
    }

    private Refusal overloadedRefusal(QueuedRequest waiting, String why, long now) {
        long predicted = predictedMillis(waiting, queue.costTokensAhead(waiting), now);
        long excessMillis = predicted - Math.max(0, waiting.remainingMillis(now));
        return Refusal.retryLater(RefusalReason.OVERLOADED, why, Math.max(MIN_RETRY_MILLIS, excessMillis));
    }

    private static Refusal deadlineRefusal() {
        return Refusal.retryLater(RefusalReason.DEADLINE, "not placed before its deadline", MIN_RETRY_MILLIS);
    }

    private void refuse(QueuedRequest waiting, Refusal refusal, long now) {
        removeAndRefund(waiting);
        decisions.add(new OwnerDecision(waiting.request(), new OwnerPlaceAnswer.Refused(refusal, recentSummary(now))));
    }

    private void removeAndRefund(QueuedRequest waiting) {
        queue.remove(waiting);
        counters.refund(waiting.request().organisation(), waiting.weight(), waiting.chargedTokens());
    }

    private static double totalTokensPerSecond(List<EngineLedger> engines) {
        return engines.stream()
                .mapToDouble(EngineLedger::prefillTokensPerSecond)
                .sum();
    }
}
