package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.elmline.bench.workload.Arrival;
import org.elmline.core.common.BackendServerId;
import org.elmline.standin.model.EngineModel;
import org.elmline.standin.model.SequenceRequest;
import org.elmline.standin.model.StepListener;

/**
 * One run of a workload through one desk and a fleet of engine models, on a manual clock. Same arguments, same result.
 * Segments of a prompt that is larger than one engine are prefilled in turn, each engine holding its own.
 */
final class FleetRun {
    private static final long LOSS_NOTICED_NANOS = 1_000_000_000L;
    private static final long TICK_NANOS = 100_000_000L;

    private final Scenario scenario;
    private final Desk desk;
    private final EngineModel[] engines;
    private final boolean[] alive;
    private final Map<Long, Job> bySequence = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos).thenComparingLong(Timer::number));
    private final RunResult result;
    private long now;
    private long timersSet;
    private long cachedGone;
    private long promptGone;

    /** Something to do at a set time; the number keeps those of one time in their order. */
    private record Timer(long atNanos, long number, Runnable action) {}

    FleetRun(Scenario scenario, Desk desk) {
        this.scenario = scenario;
        this.desk = desk;
        engines = new EngineModel[scenario.engines()];
        alive = new boolean[scenario.engines()];
        for (int i = 0; i < engines.length; i++) {
            startEngine(i);
        }
        result = new RunResult(scenario.nanos(0.1));
    }

    RunResult run() {
        scheduleFaults();
        at(0, this::tick);
        int next = 0;
        List<Arrival> arrivals = scenario.arrivals();
        while (next < arrivals.size() || result.open() > 0) {
            long arrivalAt = next < arrivals.size() ? arrivals.get(next).atNanos() : Long.MAX_VALUE;
            long timerAt = timers.peek().atNanos();
            int engine = earliestEngine();
            long engineAt = engines[engine].nextNanos();
            now = Math.min(arrivalAt, Math.min(timerAt, engineAt));
            if (engineAt == now) {
                engines[engine].advance(now, listener(engine));
            } else if (timerAt == now) {
                timers.poll().action().run();
            } else {
                arrive(new Job(arrivals.get(next), next));
                next++;
            }
            settle();
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
        for (EngineModel each : engines) {
            if (each.openSequences() != 0 || each.usedKvTokens() != 0) {
                throw new IllegalStateException("an engine holds memory after all requests ended");
            }
        }
        if (desk.reservedTokens() != 0) {
            throw new IllegalStateException("reserved after all requests ended: " + desk.reservedTokens());
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

    private void at(long nanos, Runnable action) {
        timers.add(new Timer(nanos, timersSet++, action));
    }

    private void tick() {
        desk.tick(now);
        at(now + TICK_NANOS, this::tick);
    }

    private void arrive(Job job) {
        result.arrived();
        at(job.deadlineNanos(), () -> end(job));
        desk.arrive(job, now);
    }

    private void settle() {
        List<Desk.Decision> decided = desk.settle(now);
        while (!decided.isEmpty()) {
            for (Desk.Decision each : decided) {
                take(each);
            }
            decided = desk.settle(now);
        }
    }

    private void take(Desk.Decision decision) {
        Job job = decision.job();
        if (decision.placed().isEmpty()) {
            job.refused = true;
            end(job);
            return;
        }
        job.placed = decision.placed();
        job.tries++;
        job.placed.forEach(each -> bySequence.put(each.sequence(), job));
        for (Job.Placed each : job.placed) {
            if (!alive[each.engine()]) {
                giveUpPlace(job, -1);
                job.failed.add(BackendServerId.of("engine-" + each.engine()));
                desk.arrive(job, now);
                return;
            }
        }
        submit(job, 0);
    }

    private void submit(Job job, int segment) {
        job.running = segment;
        Job.Placed placed = job.placed.get(segment);
        desk.begun(placed, now);
        long[] blocks = job.placed.size() > 1
                ? new long[0]
                : job.arrival.blockHashes().stream().mapToLong(Long::longValue).toArray();
        SequenceRequest request = new SequenceRequest(
                placed.sequence(),
                placed.promptTokens(),
                placed.contextTokens(),
                placed.outputTokens(),
                scenario.settings().priority(placed.lengthClass()),
                blocks);
        if (!engines[placed.engine()].submit(request, now)) {
            throw new IllegalStateException("an engine refused what was reserved on it");
        }
    }

    private StepListener listener(int engine) {
        return new StepListener() {
            @Override
            public void token(long id, int index, long atNanos) {
                Job job = bySequence.get(id);
                if (index == 0) {
                    desk.prefilled(job.placed.get(job.running), atNanos);
                }
                job.delivered++;
                if (job.firstTokenNanos < 0) {
                    job.firstTokenNanos = atNanos;
                }
            }

            @Override
            public void finished(long id, long atNanos) {
                Job job = bySequence.get(id);
                desk.prefilled(job.placed.get(job.running), atNanos);
                if (job.running < job.placed.size() - 1) {
                    submit(job, job.running + 1);
                    return;
                }
                job.endNanos = atNanos;
                end(job);
            }
        };
    }

    /** Ends a job, answered or not; a second call does nothing. */
    private void end(Job job) {
        if (job.over) {
            return;
        }
        job.over = true;
        if (job.placed.isEmpty()) {
            desk.withdraw(job, now);
        }
        giveUpPlace(job, -1);
        result.ended(job);
    }

    /** Frees all that a job holds; {@code lost} is the engine that died with it, or -1. */
    private void giveUpPlace(Job job, int lost) {
        for (Job.Placed each : job.placed) {
            bySequence.remove(each.sequence());
            engines[each.engine()].release(each.sequence());
            desk.released(each, each.engine() == lost || !alive[each.engine()], now);
        }
        job.placed = List.of();
    }

    private void scheduleFaults() {
        Fault fault = scenario.fault();
        for (int i = 0; i < engines.length; i++) {
            int engine = i;
            if (fault.kills(engine)) {
                at(scenario.nanos(1 / 3.0), () -> kill(engine));
                at(scenario.nanos(2 / 3.0), () -> startEngine(engine));
            }
            if (fault.slows(engine)) {
                at(scenario.nanos(1 / 3.0), () -> engines[engine].slowdown(10));
            }
        }
    }

    private void kill(int engine) {
        desk.engineDown(engine, now);
        List<Long> ids = new ArrayList<>(bySequence.keySet());
        ids.sort(null);
        Set<Job> lost = new LinkedHashSet<>();
        for (long id : ids) {
            Job job = bySequence.get(id);
            if (job.placed.stream().anyMatch(p -> p.engine() == engine)) {
                lost.add(job);
            }
        }
        for (Job each : lost) {
            giveUpPlace(each, engine);
            at(now + LOSS_NOTICED_NANOS, () -> retry(each));
        }
        retireCounts(engine);
        engines[engine] = newModel(engine);
        alive[engine] = false;
    }

    private void retry(Job job) {
        if (!job.over) {
            desk.arrive(job, now);
        }
    }

    private void retireCounts(int engine) {
        cachedGone += engines[engine].cachedPromptTokens();
        promptGone += engines[engine].promptTokens();
    }

    private void startEngine(int engine) {
        engines[engine] = newModel(engine);
        alive[engine] = true;
        desk.engineUp(engine, now);
    }

    private EngineModel newModel(int engine) {
        return new EngineModel(
                scenario.profile(), (hash, stored, atNanos) -> cacheChanged(engine, hash, stored, atNanos));
    }

    private void cacheChanged(int engine, long hash, boolean stored, long atNanos) {
        if (scenario.fault() != Fault.CACHE_LIES) {
            desk.cacheChanged(engine, hash, stored, atNanos);
            return;
        }
        for (int i = 0; stored && i < engines.length; i++) {
            desk.cacheChanged(i, hash, true, atNanos);
        }
    }
}
