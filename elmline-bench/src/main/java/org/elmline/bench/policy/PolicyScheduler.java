package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.PrefillBacklog;
import org.elmline.core.placement.Replica;
import org.elmline.core.placement.WaitPredictor;

/**
 * Schedules with a placement policy alone, on the exact state of all engines: no admission, no refusals, failed engines
 * are detected at once. Requests without room wait, ordered by arrival time plus ten seconds per length class. A prompt
 * larger than one engine is split evenly over the fewest engines; all of its segments are placed or none.
 */
final class PolicyScheduler implements Scheduler {
    private static final ModelName MODEL = ModelName.of("elm");
    private static final long QUEUE_DELAY_PER_CLASS_NANOS = 10_000_000_000L;
    private static final long MAX_HUGE_BYPASS_NANOS = 60_000_000_000L;
    private static final int MAX_PLACEMENT_TRIES = 16;
    private static final int SEGMENT_HEADROOM_TOKENS = 1_024;

    private final Scenario scenario;
    private final PlacementPolicy policy;
    private final WaitPredictor predictor;
    private final Random random;
    private final SimulatedReplica[] replicas;
    private final boolean[] running;
    private final Map<Long, PrefillBacklog.Prefill> prefills = new HashMap<>();
    private final TreeSet<Job> waiting = new TreeSet<>(Comparator.<Job>comparingLong(
                    j -> j.arrival.atNanos() + j.arrival.lengthClass().ordinal() * QUEUE_DELAY_PER_CLASS_NANOS)
            .thenComparingInt(j -> j.number));
    private final List<Decision> decisions = new ArrayList<>();
    private long lastSequence;
    private boolean released;

    PolicyScheduler(Scenario scenario, PlacementPolicy policy) {
        this.scenario = scenario;
        this.policy = policy;
        predictor = new WaitPredictor(scenario.settings());
        random = new Random(scenario.seed());
        replicas = new SimulatedReplica[scenario.engines()];
        running = new boolean[scenario.engines()];
    }

    @Override
    public void submit(Job job, long now) {
        if (mustWaitForHuge(job, now) || !tryPlace(job, now)) {
            waiting.add(job);
        }
    }

    @Override
    public List<Decision> takeDecisions(long now) {
        if (released && !waiting.isEmpty()) {
            released = false;
            placeWaiting(now);
        }
        List<Decision> taken = List.copyOf(decisions);
        decisions.clear();
        return taken;
    }

    @Override
    public void tick(long now) {}

    @Override
    public void cancel(Job job, long now) {
        waiting.remove(job);
    }

    @Override
    public void prefillStarted(Job.PlacedSegment placed, long now) {}

    @Override
    public void prefillFinished(Job.PlacedSegment placed, long now) {
        PrefillBacklog.Prefill prefill = prefills.remove(placed.sequence());
        if (prefill != null) {
            replicas[placed.engine()].backlog().recordFirstToken(prefill, now);
        }
    }

    @Override
    public void released(Job.PlacedSegment placed, boolean engineLost, long now) {
        PrefillBacklog.Prefill prefill = prefills.remove(placed.sequence());
        if (prefill != null) {
            replicas[placed.engine()].backlog().cancel(prefill, now);
        }
        replicas[placed.engine()].release(placed.lengthClass(), placed.kvTokens());
        released = true;
    }

    @Override
    public void engineStarted(int engine, long now) {
        replicas[engine] = new SimulatedReplica(engine, scenario.profile(), scenario.seed(), now);
        running[engine] = true;
        released = true;
    }

    @Override
    public void engineStopped(int engine, long now) {
        running[engine] = false;
    }

    @Override
    public void cacheChanged(int engine, long hash, boolean stored, long atNanos) {
        replicas[engine].cache().publish(hash, stored, atNanos);
    }

    @Override
    public long reservedAmount() {
        long sum = 0;
        for (SimulatedReplica each : replicas) {
            sum += each.reservedKvTokens();
        }
        return sum;
    }

    /**
     * Whether a prompt over 128k tokens must queue: once another one has waited for a minute, later smaller ones may no
     * longer overtake it. Otherwise they could keep engines occupied, and a group of engines would never have enough
     * free memory at the same time.
     */
    private boolean mustWaitForHuge(Job job, long now) {
        if (job.arrival.lengthClass() != LengthClass.HUGE) {
            return false;
        }
        for (Job each : waiting) {
            if (each.arrival.lengthClass() == LengthClass.HUGE && exceedsBypassTime(each, now)) {
                return true;
            }
        }
        return false;
    }

    private static boolean exceedsBypassTime(Job job, long now) {
        return now - job.arrival.atNanos() > MAX_HUGE_BYPASS_NANOS;
    }

    private void placeWaiting(long now) {
        int tried = 0;
        boolean hugeFailed = false;
        for (Job each : new ArrayList<>(waiting)) {
            boolean huge = each.arrival.lengthClass() == LengthClass.HUGE;
            if (huge && hugeFailed) {
                continue;
            }
            if (tried++ == MAX_PLACEMENT_TRIES) {
                return;
            }
            if (tryPlace(each, now)) {
                waiting.remove(each);
            } else {
                hugeFailed |= huge && exceedsBypassTime(each, now);
            }
        }
    }

    /** Places all segments or none. */
    private boolean tryPlace(Job job, long now) {
        List<Replica> usable = usable(now);
        List<Demand> demands = demands(job, now);
        List<Integer> chosen = new ArrayList<>();
        Set<BackendServerId> taken = new HashSet<>();
        for (Demand each : demands) {
            List<Replica> remainingReplicas =
                    usable.stream().filter(r -> !taken.contains(r.id())).toList();
            Optional<Replica> replica = policy.choose(each, remainingReplicas, random);
            if (replica.isEmpty()) {
                return false;
            }
            taken.add(replica.get().id());
            chosen.add(indexOf(replica.get()));
        }
        decisions.add(new Decision(job, reserve(job, demands, chosen, now)));
        return true;
    }

    private List<Job.PlacedSegment> reserve(Job job, List<Demand> demands, List<Integer> chosen, long now) {
        List<Job.PlacedSegment> all = new ArrayList<>();
        long context = 0;
        double previousSeconds = 0;
        for (int i = 0; i < chosen.size(); i++) {
            Demand demand = demands.get(i);
            SimulatedReplica replica = replicas[chosen.get(i)];
            Job.PlacedSegment placed = new Job.PlacedSegment(
                    chosen.get(i),
                    ++lastSequence,
                    job.arrival.lengthClass(),
                    demand.promptTokens(),
                    demand.maxOutputTokens(),
                    context);
            double cost = predictor.costTokens(demand.promptTokens(), replica.cachedTokens(demand))
                    * (1 + context / scenario.settings().attentionDoublingTokens());
            // A segment starts after the one before it has been prefilled.
            previousSeconds += predictor.secondsToFirstToken(demand, replica);
            prefills.put(
                    placed.sequence(),
                    replica.backlog().recordPlacement(placed.lengthClass(), cost, previousSeconds, now));
            replica.reserve(placed.lengthClass(), placed.kvTokens());
            all.add(placed);
            context += demand.promptTokens();
        }
        return all;
    }

    private List<Replica> usable(long now) {
        List<Replica> usable = new ArrayList<>(replicas.length);
        for (int i = 0; i < replicas.length; i++) {
            if (running[i]) {
                replicas[i].advanceTo(now);
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
        throw new IllegalStateException("the policy chose a replica that was not offered: " + replica.id());
    }

    private List<Demand> demands(Job job, long now) {
        int prompt = job.promptTokens();
        int maxSegmentTokens = (int) scenario.profile().capacityKvTokens() - SEGMENT_HEADROOM_TOKENS;
        int count = (prompt + maxSegmentTokens - 1) / maxSegmentTokens;
        List<Demand> demands = new ArrayList<>(count);
        int remainingTokens = prompt;
        for (int i = 0; i < count; i++) {
            int tokens = remainingTokens / (count - i);
            remainingTokens -= tokens;
            demands.add(new Demand(
                    MODEL,
                    "",
                    tokens,
                    i == count - 1 ? job.outputTokens() : 0,
                    count == 1 ? job.arrival.blockHashes() : List.of(),
                    0,
                    (job.deadlineNanos() - now) / 1_000_000,
                    Set.of()));
        }
        return demands;
    }
}
