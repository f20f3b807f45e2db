package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.elmline.bench.workload.Arrival;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.Replica;
import org.elmline.core.placement.WaitPredictor;
import org.elmline.standin.model.EngineModel;
import org.elmline.standin.model.SequenceRequest;
import org.elmline.standin.model.StepListener;

/**
 * One run of a workload through one policy and a fleet of engine models, on a manual clock. Same arguments, same result.
 * A prompt larger than one engine is cut into segments on different engines, placed all or none and prefilled in turn.
 */
final class FleetRun {
    private static final ModelName MODEL = ModelName.of("elm");
    private static final long LOSS_NOTICED_NANOS = 1_000_000_000L;
    private static final long CLASS_NANOS = 10_000_000_000L;
    private static final long HUGE_PATIENCE_NANOS = 60_000_000_000L;
    private static final int MOST_TRIED = 16;
    private static final int SEGMENT_HEADROOM = 1_024;

    private final Scenario scenario;
    private final PlacementPolicy policy;
    private final WaitPredictor predictor;
    private final Random random;
    private final EngineModel[] engines;
    private final BenchReplica[] replicas;
    private final boolean[] alive;
    private final Map<Long, Job> bySequence = new HashMap<>();
    private final TreeSet<Job> waiting = new TreeSet<>(Comparator.<Job>comparingLong(
                    j -> j.arrival.atNanos() + j.arrival.lengthClass().ordinal() * CLASS_NANOS)
            .thenComparingInt(j -> j.number));
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos));
    private final RunResult result;
    private long now;
    private long lastSequence;
    private boolean released;
    private long cachedGone;
    private long promptGone;

    /** Something to do at a set time. */
    private record Timer(long atNanos, Runnable action) {}

    FleetRun(Scenario scenario, PlacementPolicy policy) {
        this.scenario = scenario;
        this.policy = policy;
        predictor = new WaitPredictor(scenario.settings());
        random = new Random(scenario.seed());
        engines = new EngineModel[scenario.engines()];
        replicas = new BenchReplica[scenario.engines()];
        alive = new boolean[scenario.engines()];
        for (int i = 0; i < engines.length; i++) {
            startEngine(i);
        }
        result = new RunResult(scenario.nanos(0.1));
    }

    RunResult run() {
        scheduleFaults();
        int next = 0;
        List<Arrival> arrivals = scenario.arrivals();
        while (true) {
            long arrivalAt = next < arrivals.size() ? arrivals.get(next).atNanos() : Long.MAX_VALUE;
            long timerAt = timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atNanos();
            int engine = earliestEngine();
            long engineAt = engines[engine].nextNanos();
            now = Math.min(arrivalAt, Math.min(timerAt, engineAt));
            if (now == Long.MAX_VALUE || arrivalAt == Long.MAX_VALUE && result.open() == 0) {
                break;
            }
            if (engineAt == now) {
                engines[engine].advance(now, listener(engine));
            } else if (timerAt == now) {
                timers.poll().action().run();
            } else {
                arrive(new Job(arrivals.get(next), next));
                next++;
            }
            placeWaiting();
        }
        for (int i = 0; i < engines.length; i++) {
            retireCounts(i);
        }
        result.prefixHits(cachedGone, promptGone);
        checkNothingHeld();
        return result;
    }

    /** A reservation or sequence left over would be memory lost for good. */
    private void checkNothingHeld() {
        for (int i = 0; i < engines.length; i++) {
            boolean held = replicas[i].reservedKvTokens() != 0 || engines[i].openSequences() != 0;
            if (held || engines[i].usedKvTokens() != 0) {
                throw new IllegalStateException("engine " + i + " holds memory after all requests ended");
            }
        }
    }

    private int earliestEngine() {
        int earliest = 0;
        for (int i = 1; i < engines.length; i++) {
            if (engines[i].nextNanos() < engines[earliest].nextNanos()) {
                earliest = i;
            }
        }
        return earliest;
    }

    private void arrive(Job job) {
        result.arrived(job);
        timers.add(new Timer(job.deadlineNanos(), () -> expire(job)));
        if (hugeWaits(job) || !place(job)) {
            waiting.add(job);
        }
    }

    /**
     * Whether a prompt over 128k tokens must take its turn: once one has waited for long, later smaller ones may no longer
     * pass it, or a group of engines would never find its room.
     */
    private boolean hugeWaits(Job job) {
        if (job.arrival.lengthClass() != LengthClass.HUGE) {
            return false;
        }
        for (Job each : waiting) {
            if (each.arrival.lengthClass() == LengthClass.HUGE && waitsLong(each)) {
                return true;
            }
        }
        return false;
    }

    private boolean waitsLong(Job job) {
        return now - job.arrival.atNanos() > HUGE_PATIENCE_NANOS;
    }

    private void placeWaiting() {
        if (!released || waiting.isEmpty()) {
            return;
        }
        released = false;
        int tried = 0;
        boolean hugeFailed = false;
        for (Job each : new ArrayList<>(waiting)) {
            boolean huge = each.arrival.lengthClass() == LengthClass.HUGE;
            if (huge && hugeFailed) {
                continue;
            }
            if (tried++ == MOST_TRIED) {
                return;
            }
            if (place(each)) {
                waiting.remove(each);
            } else {
                hugeFailed |= huge && waitsLong(each);
            }
        }
    }

    /** Places all segments or none. */
    private boolean place(Job job) {
        List<Replica> usable = usable();
        List<Demand> demands = demands(job);
        List<Integer> chosen = new ArrayList<>();
        Set<BackendServerId> taken = new HashSet<>();
        for (Demand each : demands) {
            List<Replica> left =
                    usable.stream().filter(r -> !taken.contains(r.id())).toList();
            Optional<Replica> replica = policy.choose(each, left, random);
            if (replica.isEmpty()) {
                return false;
            }
            taken.add(replica.get().id());
            chosen.add(indexOf(replica.get()));
        }
        long context = 0;
        for (int i = 0; i < chosen.size(); i++) {
            reserve(job, demands.get(i), chosen.get(i), context);
            context += demands.get(i).promptTokens();
        }
        submit(job, 0);
        return true;
    }

    private List<Replica> usable() {
        List<Replica> usable = new ArrayList<>(replicas.length);
        for (int i = 0; i < replicas.length; i++) {
            if (alive[i]) {
                replicas[i].now(now);
                usable.add(replicas[i]);
            }
        }
        return usable;
    }

    private int indexOf(Replica replica) {
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i] == replica) {
                return i;
            }
        }
        throw new IllegalStateException("a policy chose a replica that it was not given");
    }

    private List<Demand> demands(Job job) {
        Arrival arrival = job.arrival;
        int prompt = arrival.promptTokens() + job.delivered;
        int output = arrival.outputTokens() - job.delivered;
        int largest = (int) scenario.profile().capacityKvTokens() - SEGMENT_HEADROOM;
        int count = (prompt + largest - 1) / largest;
        List<Demand> demands = new ArrayList<>(count);
        int left = prompt;
        for (int i = 0; i < count; i++) {
            int tokens = left / (count - i);
            left -= tokens;
            boolean last = i == count - 1;
            demands.add(new Demand(
                    MODEL,
                    "",
                    tokens,
                    last ? output : 0,
                    count == 1 ? arrival.blockHashes() : List.of(),
                    arrival.lengthClass().ordinal(),
                    (job.deadlineNanos() - now) / 1_000_000,
                    Set.of()));
        }
        return demands;
    }

    private void reserve(Job job, Demand demand, int engine, long context) {
        Job.Placed placed =
                new Job.Placed(engine, ++lastSequence, demand.promptTokens(), demand.maxOutputTokens(), context);
        BenchReplica replica = replicas[engine];
        double cost = predictor.costTokens(demand.promptTokens(), replica.cachedTokens(demand));
        cost *= 1 + context / scenario.settings().attentionDoublingTokens();
        double predicted = predictor.secondsToFirstToken(demand, replica) + previousSeconds(job);
        placed.prefill = replica.backlog().placed(job.arrival.lengthClass(), cost, predicted, now);
        placed.predictedSeconds = predicted;
        replica.placed(job.arrival.lengthClass(), placed.kvTokens());
        job.placed.add(placed);
        bySequence.put(placed.sequence, job);
    }

    /** A segment starts after the one before it. */
    private static double previousSeconds(Job job) {
        return job.placed.isEmpty() ? 0 : job.placed.get(job.placed.size() - 1).predictedSeconds;
    }

    private void submit(Job job, int segment) {
        job.running = segment;
        Job.Placed placed = job.placed.get(segment);
        int priority = scenario.settings().priority(job.arrival.lengthClass());
        long[] blocks = job.placed.size() > 1
                ? new long[0]
                : job.arrival.blockHashes().stream().mapToLong(Long::longValue).toArray();
        boolean accepted = engines[placed.engine].submit(
                new SequenceRequest(
                        placed.sequence,
                        placed.promptTokens,
                        placed.contextTokens,
                        placed.outputTokens,
                        priority,
                        blocks),
                now);
        if (!accepted) {
            throw new IllegalStateException("an engine refused what was reserved on it");
        }
    }

    private StepListener listener(int engine) {
        return new StepListener() {
            @Override
            public void token(long id, int index, long atNanos) {
                Job job = bySequence.get(id);
                if (index == 0) {
                    prefilled(job, job.placed.get(job.running), atNanos);
                }
                job.delivered++;
                if (job.firstTokenNanos < 0) {
                    job.firstTokenNanos = atNanos;
                }
            }

            @Override
            public void finished(long id, long atNanos) {
                Job job = bySequence.get(id);
                prefilled(job, job.placed.get(job.running), atNanos);
                if (job.running < job.placed.size() - 1) {
                    submit(job, job.running + 1);
                    return;
                }
                job.endNanos = atNanos;
                end(job);
            }
        };
    }

    private void prefilled(Job job, Job.Placed placed, long atNanos) {
        replicas[placed.engine].backlog().firstToken(placed.prefill, atNanos);
    }

    private void expire(Job job) {
        if (!job.over) {
            end(job);
        }
    }

    private void end(Job job) {
        job.over = true;
        waiting.remove(job);
        releaseAll(job);
        result.ended(job);
    }

    private void releaseAll(Job job) {
        LengthClass lengthClass = job.arrival.lengthClass();
        for (Job.Placed each : job.placed) {
            bySequence.remove(each.sequence);
            engines[each.engine].release(each.sequence);
            BenchReplica replica = replicas[each.engine];
            replica.backlog().dropped(each.prefill, now);
            replica.released(lengthClass, each.kvTokens());
        }
        job.placed.clear();
        released = true;
    }

    private void scheduleFaults() {
        Fault fault = scenario.fault();
        for (int i = 0; i < engines.length; i++) {
            int engine = i;
            if (fault.kills(engine)) {
                timers.add(new Timer(scenario.nanos(1 / 3.0), () -> kill(engine)));
                timers.add(new Timer(scenario.nanos(2 / 3.0), () -> revive(engine)));
            }
            if (fault.slows(engine)) {
                timers.add(new Timer(scenario.nanos(1 / 3.0), () -> engines[engine].slowdown(10)));
            }
        }
    }

    private void kill(int engine) {
        alive[engine] = false;
        Set<Job> lost = new LinkedHashSet<>();
        List<Long> ids = new ArrayList<>(bySequence.keySet());
        ids.sort(null);
        for (long id : ids) {
            Job job = bySequence.get(id);
            if (job.placed.stream().anyMatch(p -> p.engine == engine)) {
                lost.add(job);
            }
        }
        for (Job each : lost) {
            releaseAll(each);
            timers.add(new Timer(now + LOSS_NOTICED_NANOS, () -> retry(each)));
        }
        retireCounts(engine);
        startEngine(engine);
        alive[engine] = false;
    }

    private void revive(int engine) {
        startEngine(engine);
        released = true;
    }

    private void retry(Job job) {
        if (!job.over && !place(job)) {
            waiting.add(job);
        }
    }

    private void retireCounts(int engine) {
        cachedGone += engines[engine].cachedPromptTokens();
        promptGone += engines[engine].promptTokens();
    }

    private void startEngine(int engine) {
        replicas[engine] = new BenchReplica(engine, scenario.profile(), scenario.seed(), now);
        engines[engine] =
                new EngineModel(scenario.profile(), (hash, stored, at) -> cacheChanged(engine, hash, stored, at));
        alive[engine] = true;
    }

    private void cacheChanged(int engine, long hash, boolean stored, long atNanos) {
        if (scenario.fault() != Fault.CACHE_LIES) {
            replicas[engine].cache().published(hash, stored, atNanos);
            return;
        }
        for (BenchReplica each : replicas) {
            if (stored) {
                each.cache().published(hash, true, atNanos);
            }
        }
    }
}
