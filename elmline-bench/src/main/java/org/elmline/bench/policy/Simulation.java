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
 * One run of a workload through one scheduler and a fleet of engine models, on a manual clock. The same arguments give
 * the same result. Segments of a prompt that is larger than one engine are prefilled in turn, each on its own engine,
 * which holds its KV.
 */
final class Simulation {
    private static final long FAILURE_DETECTION_NANOS = 1_000_000_000L;
    private static final long TICK_NANOS = 100_000_000L;

    private final Scenario scenario;
    private final Scheduler scheduler;
    private final EngineModel[] engines;
    private final boolean[] running;
    private final Map<Long, Job> jobsBySequence = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atNanos).thenComparingLong(Timer::number));
    private final RunResult result;
    private long now;
    private long timerCount;
    private long retiredCachedTokens;
    private long retiredPromptTokens;

    /** Action at a set time; the number keeps actions of the same time in the order in which they were scheduled. */
    private record Timer(long atNanos, long number, Runnable action) {}

    Simulation(Scenario scenario, Scheduler scheduler) {
        this.scenario = scenario;
        this.scheduler = scheduler;
        engines = new EngineModel[scenario.engines()];
        running = new boolean[scenario.engines()];
        for (int i = 0; i < engines.length; i++) {
            startEngine(i);
        }
        result = new RunResult(scenario.nanosAt(0.1));
    }

    RunResult run() {
        scheduleFaults();
        scheduleAt(0, this::tick);
        int next = 0;
        List<Arrival> arrivals = scenario.arrivals();
        while (next < arrivals.size() || result.openRequests() > 0) {
            long arrivalAt = next < arrivals.size() ? arrivals.get(next).atNanos() : Long.MAX_VALUE;
            long timerAt = timers.peek().atNanos();
            int engine = earliestEngine();
            long engineAt = engines[engine].nextStepEndNanos();
            now = Math.min(arrivalAt, Math.min(timerAt, engineAt));
            if (engineAt == now) {
                engines[engine].advance(now, listener(engine));
            } else if (timerAt == now) {
                timers.poll().action().run();
            } else {
                onArrival(new Job(arrivals.get(next), next));
                next++;
            }
            applyDecisions();
        }
        for (int i = 0; i < engines.length; i++) {
            retireCounters(i);
        }
        result.recordPrefixHits(retiredCachedTokens, retiredPromptTokens);
        checkNothingReserved();
        return result;
    }

    /**
     * Guards against leaks: memory of a reservation or sequence that is left after all requests ended would never be
     * freed.
     */
    private void checkNothingReserved() {
        for (EngineModel each : engines) {
            if (each.openSequences() != 0 || each.usedKvTokens() != 0) {
                throw new IllegalStateException("an engine holds " + each.openSequences() + " sequences and "
                        + each.usedKvTokens() + " KV tokens after all requests ended");
            }
        }
        if (scheduler.reservedAmount() != 0) {
            throw new IllegalStateException(
                    "the scheduler holds reservations after all requests ended: " + scheduler.reservedAmount());
        }
    }

    private int earliestEngine() {
        int earliest = 0;
        for (int i = 1; i < engines.length; i++) {
            if (engines[i].nextStepEndNanos() < engines[earliest].nextStepEndNanos()) {
                earliest = i;
            }
        }
        return earliest;
    }

    private void scheduleAt(long nanos, Runnable action) {
        timers.add(new Timer(nanos, timerCount++, action));
    }

    private void tick() {
        scheduler.tick(now);
        scheduleAt(now + TICK_NANOS, this::tick);
    }

    private void onArrival(Job job) {
        result.recordArrival();
        scheduleAt(job.deadlineNanos(), () -> finish(job));
        scheduler.submit(job, now);
    }

    private void applyDecisions() {
        List<Scheduler.Decision> decided = scheduler.takeDecisions(now);
        while (!decided.isEmpty()) {
            for (Scheduler.Decision each : decided) {
                apply(each);
            }
            decided = scheduler.takeDecisions(now);
        }
    }

    private void apply(Scheduler.Decision decision) {
        Job job = decision.job();
        if (decision.segments().isEmpty()) {
            job.isRefused = true;
            finish(job);
            return;
        }
        job.segments = decision.segments();
        job.placements++;
        job.segments.forEach(each -> jobsBySequence.put(each.sequence(), job));
        for (Job.PlacedSegment each : job.segments) {
            if (!running[each.engine()]) {
                releaseSegments(job, -1);
                job.failedServers.add(BackendServerId.of("engine-" + each.engine()));
                scheduler.submit(job, now);
                return;
            }
        }
        submit(job, 0);
    }

    private void submit(Job job, int segment) {
        job.runningSegment = segment;
        Job.PlacedSegment placed = job.segments.get(segment);
        scheduler.prefillStarted(placed, now);
        long[] blocks = job.segments.size() > 1
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
            throw new IllegalStateException(
                    "engine " + placed.engine() + " refused a sequence although memory was reserved for it");
        }
    }

    private StepListener listener(int engine) {
        return new StepListener() {
            @Override
            public void onToken(long id, int index, long atNanos) {
                Job job = jobsBySequence.get(id);
                if (index == 0) {
                    scheduler.prefillFinished(job.segments.get(job.runningSegment), atNanos);
                }
                job.deliveredTokens++;
                if (job.firstTokenNanos < 0) {
                    job.firstTokenNanos = atNanos;
                }
            }

            @Override
            public void onFinished(long id, long atNanos) {
                Job job = jobsBySequence.get(id);
                scheduler.prefillFinished(job.segments.get(job.runningSegment), atNanos);
                if (job.runningSegment < job.segments.size() - 1) {
                    submit(job, job.runningSegment + 1);
                    return;
                }
                job.endNanos = atNanos;
                finish(job);
            }
        };
    }

    /** Ends a job, answered or not; a second call does nothing. */
    private void finish(Job job) {
        if (job.isFinished) {
            return;
        }
        job.isFinished = true;
        if (job.segments.isEmpty()) {
            scheduler.cancel(job, now);
        }
        releaseSegments(job, -1);
        result.recordEnd(job);
    }

    /** Frees everything that a job holds; {@code lost} is the engine that failed with it, or -1. */
    private void releaseSegments(Job job, int lost) {
        for (Job.PlacedSegment each : job.segments) {
            jobsBySequence.remove(each.sequence());
            engines[each.engine()].release(each.sequence());
            scheduler.released(each, each.engine() == lost || !running[each.engine()], now);
        }
        job.segments = List.of();
    }

    private void scheduleFaults() {
        Fault fault = scenario.fault();
        for (int i = 0; i < engines.length; i++) {
            int engine = i;
            if (fault.stops(engine)) {
                scheduleAt(scenario.nanosAt(1 / 3.0), () -> stopEngine(engine));
                scheduleAt(scenario.nanosAt(2 / 3.0), () -> startEngine(engine));
            }
            if (fault.slows(engine)) {
                scheduleAt(scenario.nanosAt(1 / 3.0), () -> engines[engine].slowdown(10));
            }
        }
    }

    private void stopEngine(int engine) {
        scheduler.engineStopped(engine, now);
        List<Long> ids = new ArrayList<>(jobsBySequence.keySet());
        ids.sort(null);
        Set<Job> lost = new LinkedHashSet<>();
        for (long id : ids) {
            Job job = jobsBySequence.get(id);
            if (job.segments.stream().anyMatch(p -> p.engine() == engine)) {
                lost.add(job);
            }
        }
        for (Job each : lost) {
            releaseSegments(each, engine);
            scheduleAt(now + FAILURE_DETECTION_NANOS, () -> resubmit(each));
        }
        retireCounters(engine);
        engines[engine] = newModel(engine);
        running[engine] = false;
    }

    private void resubmit(Job job) {
        if (!job.isFinished) {
            scheduler.submit(job, now);
        }
    }

    private void retireCounters(int engine) {
        retiredCachedTokens += engines[engine].cachedPromptTokens();
        retiredPromptTokens += engines[engine].promptTokens();
    }

    private void startEngine(int engine) {
        engines[engine] = newModel(engine);
        running[engine] = true;
        scheduler.engineStarted(engine, now);
    }

    private EngineModel newModel(int engine) {
        return new EngineModel(
                scenario.profile(), (hash, stored, atNanos) -> cacheChanged(engine, hash, stored, atNanos));
    }

    private void cacheChanged(int engine, long hash, boolean stored, long atNanos) {
        if (scenario.fault() != Fault.FALSE_CACHE_EVENTS) {
            scheduler.cacheChanged(engine, hash, stored, atNanos);
            return;
        }
        for (int i = 0; stored && i < engines.length; i++) {
            scheduler.cacheChanged(i, hash, true, atNanos);
        }
    }
}
