package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntFunction;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.ServerState;
import org.elmline.core.routing.BatchTiming;
import org.elmline.core.routing.RoutedService;

/**
 * Simulation of the users' heaviest load, without a network: ten seconds of long prompts and ten seconds of short calls
 * in turn. The same calls go through the dispatcher and, as a baseline, to the engine with the fewest running calls.
 */
final class AlternatingLoad {
    private static final long MILLI = 1_000_000L;
    private static final int ARRIVAL_MILLIS = 40_000;

    /** The longest deadline; within this time after the last arrival all calls have ended. */
    private static final int LAST_CALL_MILLIS = 15_000;

    /** How long calls were held before the start. */
    private static final int HELD_MILLIS = 3_000;

    /** Time after the start at which callers of held calls disconnect without a first token. */
    private static final int HELD_FIRST_TOKEN_MILLIS = 1_000;

    /** Shards at which a call requests placement before it waits. */
    private static final int MAX_SHARDS_REQUESTED = 2;

    /** Interval at which a waiting call is requested again. */
    private static final int RETRY_INTERVAL_MILLIS = 250;

    private static final ServiceName SERVICE = ServiceName.of("desk");
    /** Classes of the users' calls by length: questions are short, rosters of medium length, audits long. */
    enum Kind {
        QUESTION,
        ROSTER,
        AUDIT
    }

    /**
     * Arrival rates, lengths and time limits of a class of calls, and its value to callers.
     *
     * @param inLongPhase calls per second in the phase of long prompts
     * @param inShortPhase calls per second in the phase of short calls
     * @param meanTokens mean length of the prompt, log-normally distributed up to {@code maxTokens}
     * @param spread standard deviation of the logarithm of the length
     * @param maxTokens longest prompt in tokens
     * @param aimMillis milliseconds to the first token
     * @param gapMillis milliseconds between events
     * @param deadlineMillis milliseconds to the end of the answer
     * @param value value of an answer in time, of a call of mean size
     * @param lateValue value of a late answer
     */
    record CallProfile(
            double inLongPhase,
            double inShortPhase,
            double meanTokens,
            double spread,
            long maxTokens,
            int events,
            int aimMillis,
            int gapMillis,
            int deadlineMillis,
            double value,
            double lateValue) {
        CallProfile scaled(double rateScale, double timeLimitScale) {
            return new CallProfile(
                    inLongPhase * rateScale,
                    inShortPhase * rateScale,
                    meanTokens,
                    spread,
                    maxTokens,
                    events,
                    (int) (aimMillis * timeLimitScale),
                    (int) (gapMillis * timeLimitScale),
                    (int) (deadlineMillis * timeLimitScale),
                    value,
                    lateValue);
        }

        /** Value of an answer in time, relative to that of the other classes; it grows with the prompt. */
        double value(long promptTokens, int eventTokens) {
            double size = (promptTokens + 10.0 * eventTokens * events) / (meanTokens + 10.0 * eventTokens * events);
            return value * Math.min(4, 0.3 + 0.7 * size);
        }

        double callsPerSecond(int millis) {
            return millis / 10_000 % 2 == 0 ? inLongPhase : inShortPhase;
        }

        long samplePromptTokens(Random random) {
            double logTokens = Math.log(meanTokens) - spread * spread / 2 + spread * random.nextGaussian();
            return (long) Math.max(500, Math.min(maxTokens, Math.exp(logTokens)));
        }
    }

    /** Engines and calls of a deployment. */
    record Deployment(String name, BatchTiming timing, Map<Kind, CallProfile> profiles) {
        /** Large engines, three prompts of 210 thousand tokens per second; calls for 21 engines. */
        static final Deployment LARGE_ENGINES = of(
                "large",
                new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1),
                new CallProfile(10.3, 80.0, 4_960, 0.9, 23_800, 35, 300, 200, 10_000, 1.3, 0.33),
                new CallProfile(3.0, 1.2, 45_000, 0.5, 110_000, 21, 1_500, 500, 10_000, 3.1, 0.79),
                new CallProfile(2.7, 0.05, 210_000, 0.5, 430_000, 17, 3_000, 800, 15_000, 22, 5.4));

        /** Half the memory, slower prefill, four prompts of 133 thousand tokens per second; calls for 21 engines. */
        static final Deployment SMALL_ENGINES = of(
                "small",
                new BatchTiming(11, 232_000, 43, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075),
                new CallProfile(10.3, 75.0, 4_960, 0.9, 23_800, 32, 300, 250, 10_000, 1.3, 0.33),
                new CallProfile(2.2, 0.85, 45_000, 0.5, 110_000, 19, 1_500, 600, 10_000, 3.9, 0.98),
                new CallProfile(3.9, 0.07, 133_000, 0.55, 600_000, 16, 2_500, 1_000, 15_000, 15, 3.7));

        /** Seven slots, prompts of 300 thousand tokens, few and long passes; calls for 21 engines of 172. */
        static final Deployment MANY_ENGINES = of(
                "many",
                new BatchTiming(7, 450_000, 73, 0.925, 0.011, 0.004, 256, 0.0917, 2048, 0.1),
                new CallProfile(7.6, 51.0, 4_960, 0.9, 23_800, 24, 309, 250, 10_000, 1.4, 0.34),
                new CallProfile(2.95, 1.13, 45_000, 0.5, 110_000, 15, 1_514, 600, 10_000, 2.3, 0.58),
                new CallProfile(1.4, 0.026, 300_000, 0.5, 900_000, 12, 4_024, 1_000, 15_000, 26, 6.6));

        static final List<Deployment> ALL = List.of(LARGE_ENGINES, SMALL_ENGINES);

        private static Deployment of(
                String name,
                BatchTiming timing,
                CallProfile shortCalls,
                CallProfile mediumCalls,
                CallProfile longCalls) {
            return new Deployment(
                    name, timing, Map.of(Kind.QUESTION, shortCalls, Kind.ROSTER, mediumCalls, Kind.AUDIT, longCalls));
        }

        CallProfile profile(Kind kind) {
            return profiles.get(kind);
        }

        /**
         * The same calls for engines and callers of other speeds.
         *
         * @param speed factor for the speed of the engines and the arrival rates
         * @param timeLimitScale factor for the callers' time limits: to the first token, between events and to the end
         * @param memory factor for the memory of the engines
         */
        Deployment scaled(double speed, double timeLimitScale, double memory) {
            BatchTiming scaled = new BatchTiming(
                    timing.slots(),
                    (long) (timing.memoryTokens() * memory),
                    timing.stepsPerPass(),
                    timing.stepMillis() / speed,
                    timing.perDecodingRequestMillis() / speed,
                    timing.perThousandContextMillis() / speed,
                    timing.prefillTokensPerMilli() * speed,
                    timing.attentionMillisPerMillionPairs() / speed,
                    timing.chunkTokens(),
                    timing.helperHopMillis());
            Map<Kind, CallProfile> other = new EnumMap<>(Kind.class);
            profiles.forEach((kind, each) -> other.put(kind, each.scaled(speed, timeLimitScale)));
            return new Deployment(
                    name + " x" + speed + " time limits x" + timeLimitScale + " memory x" + memory, scaled, other);
        }
    }

    /** Chooses the engines of a call. */
    interface Policy {
        void place(DispatchCall call, SimulatedEngine.Job job, int now);

        void step(int now);
    }

    private static final Comparator<SimulatedEngine> BY_RUNNING = Comparator.comparingInt(SimulatedEngine::running);

    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final Map<Kind, List<SimulatedEngine.Job>> jobsByKind = new EnumMap<>(Kind.class);
    private final List<SimulatedEngine.Job> heldJobs = new ArrayList<>();
    private final Deployment deployment;
    private final long seed;
    private final double load;
    private int heldSeconds;
    private int shards = 1;
    private long decisionNanos;

    /**
     * @param engineCount engines of the service
     * @param load part of the deployment's calls that arrive
     */
    AlternatingLoad(Deployment deployment, int engineCount, double load, long seed) {
        this.deployment = deployment;
        this.load = load;
        this.seed = seed;
        for (int i = 0; i < engineCount; i++) {
            engines.add(new SimulatedEngine(deployment.timing));
        }
    }

    /**
     * Adds calls held before the start: those of some seconds of the phase of short calls and of that of long prompts.
     * All are late already, and their callers disconnect within a second without a first token.
     */
    AlternatingLoad withHeldCalls(int seconds) {
        heldSeconds = seconds;
        return this;
    }

    /** Divides the engines into so many shards. */
    AlternatingLoad inShards(int count) {
        shards = count;
        return this;
    }

    /** Runs the load through the dispatcher. */
    AlternatingLoad runDispatched() {
        run(new DispatchedPolicy());
        return this;
    }

    /** Sends each call to the engine with the fewest running calls. */
    AlternatingLoad runFewestRunning() {
        run(new MinimumPolicy(now -> BY_RUNNING));
        return this;
    }

    /** Sends each call to the engine with the shortest prefill backlog, then with the fewest running calls. */
    AlternatingLoad runLeastBacklog() {
        run(new MinimumPolicy(now -> Comparator.comparingDouble((SimulatedEngine each) -> each.backlogMillis(now))
                .thenComparing(BY_RUNNING)));
        return this;
    }

    private void run(Policy policy) {
        Random random = new Random(seed);
        placeHeldCalls(random, policy);
        int next = 0;
        for (int now = 0; now < ARRIVAL_MILLIS + LAST_CALL_MILLIS; now++) {
            for (Kind kind : Kind.values()) {
                if (now < ARRIVAL_MILLIS
                        && random.nextDouble() < load * deployment.profile(kind).callsPerSecond(now) / 1_000) {
                    CallProfile profile = deployment.profile(kind);
                    long tokens = profile.samplePromptTokens(random);
                    SimulatedEngine.Job job = new SimulatedEngine.Job(
                            tokens, profile.events(), now, profile.aimMillis(), profile.gapMillis());
                    jobsByKind.computeIfAbsent(kind, each -> new ArrayList<>()).add(job);
                    long startNanos = System.nanoTime();
                    policy.place(call("c" + next++, profile, tokens), job, now);
                    decisionNanos += System.nanoTime() - startNanos;
                }
            }
            long startNanos = System.nanoTime();
            policy.step(now);
            decisionNanos += System.nanoTime() - startNanos;
            for (SimulatedEngine each : engines) {
                each.step(now);
            }
        }
    }

    private void placeHeldCalls(Random random, Policy policy) {
        for (Kind kind : Kind.values()) {
            CallProfile profile = deployment.profile(kind);
            int count = (int) Math.round(heldSeconds * load * (profile.inLongPhase() + profile.inShortPhase()));
            for (int i = 0; i < count; i++) {
                long tokens = profile.samplePromptTokens(random);
                SimulatedEngine.Job job =
                        new SimulatedEngine.Job(tokens, profile.events(), 0, profile.aimMillis(), profile.gapMillis());
                heldJobs.add(job);
                DispatchCall call = call("held-" + kind + i, profile, tokens);
                int firstTokenMillis = Math.min(profile.deadlineMillis() - HELD_MILLIS, HELD_FIRST_TOKEN_MILLIS);
                policy.place(
                        call.withRemainingTimes(
                                profile.aimMillis() - HELD_MILLIS,
                                firstTokenMillis,
                                profile.deadlineMillis() - HELD_MILLIS),
                        job,
                        0);
            }
        }
    }

    /** Number of calls that arrived after the start. */
    int calls() {
        return jobsByKind.values().stream().mapToInt(List::size).sum();
    }

    /** Mean time in microseconds that the policy took for the decisions and reports of a call. */
    double decisionMicrosPerCall() {
        return decisionNanos / 1e3 / calls();
    }

    /** Part of the calls held before the start that got their whole answer. */
    double heldAnsweredFraction() {
        return (double) heldJobs.stream().filter(SimulatedEngine.Job::done).count() / heldJobs.size();
    }

    /** Part of the calls of a class that were answered in time, with no gap longer than allowed. */
    double onTimeFraction(Kind kind) {
        List<SimulatedEngine.Job> jobs = jobsByKind.get(kind);
        return (double) jobs.stream().filter(SimulatedEngine.Job::onTime).count() / jobs.size();
    }

    /** Like {@link #onTimeFraction} for a range of prompt sizes; 0 to 0.1 is the largest tenth. */
    double onTimeFractionBySize(Kind kind, double from, double to) {
        List<SimulatedEngine.Job> jobs = new ArrayList<>(jobsByKind.get(kind));
        jobs.sort(Comparator.comparingLong(SimulatedEngine.Job::promptTokens).reversed());
        List<SimulatedEngine.Job> part = jobs.subList((int) (from * jobs.size()), (int) (to * jobs.size()));
        return (double) part.stream().filter(SimulatedEngine.Job::onTime).count() / part.size();
    }

    /** Value that callers got, as a part of the value with all answers in time. */
    double valueFraction(Kind kind) {
        double achieved = 0;
        double possible = 0;
        CallProfile profile = deployment.profile(kind);
        for (SimulatedEngine.Job each : jobsByKind.get(kind)) {
            double value = profile.value(each.promptTokens(), deployment.timing.stepsPerPass());
            possible += value;
            achieved += each.onTime() ? value : each.done() ? value * profile.lateValue() / profile.value() : 0;
        }
        return achieved / possible;
    }

    private DispatchCall call(String attempt, CallProfile profile, long tokens) {
        long answer = (long) deployment.timing.stepsPerPass() * profile.events();
        return new DispatchCall(
                attempt,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                SERVICE,
                Shard.WHOLE,
                1,
                tokens,
                answer,
                answer,
                profile.aimMillis(),
                profile.gapMillis(),
                profile.deadlineMillis(),
                profile.deadlineMillis(),
                false,
                List.of());
    }

    /**
     * Places calls through the dispatchers of the shards, which receive reports of first tokens and ends within a
     * millisecond. A call that must wait is requested at other shards at once, and again a quarter of a second later.
     */
    private final class DispatchedPolicy implements Policy {
        private final List<Dispatcher> dispatchers = new ArrayList<>();
        private final Map<String, SimulatedEngine.Job> jobsByAttempt = new HashMap<>();
        private final Map<String, Boolean> firstTokenReported = new HashMap<>();
        private final Map<String, Integer> shardByAttempt = new HashMap<>();
        private final Map<String, PendingCall> waiting = new HashMap<>();
        private final Random random = new Random(seed);

        private record PendingCall(DispatchCall call, int firstRequestedAtMillis, int nextRequestAtMillis) {}

        DispatchedPolicy() {
            RoutedService service = new RoutedService(SERVICE, 819, deployment.timing);
            List<List<Registration>> servers = new ArrayList<>();
            for (int i = 0; i < shards; i++) {
                servers.add(new ArrayList<>());
                dispatchers.add(new Dispatcher(service, new RetryLimit(0.2, 10, 10_000 * MILLI), 0));
            }
            for (int i = 0; i < engines.size(); i++) {
                BackendServerId id = BackendServerId.of("s" + i);
                Address address = new Address("10.0." + i / 250 + '.' + (i % 250 + 1), 80);
                servers.get(Shard.indexOf(id, shards))
                        .add(new Registration(
                                id, SERVICE, address, FailureDomain.of("a"), 11, ServerState.READY, 1, 1));
            }
            for (int i = 0; i < shards; i++) {
                dispatchers.get(i).updateServers(service, servers.get(i), 0);
            }
        }

        @Override
        public void place(DispatchCall call, SimulatedEngine.Job job, int now) {
            jobsByAttempt.put(call.attempt(), job);
            place(new PendingCall(call, now, now + RETRY_INTERVAL_MILLIS), now);
        }

        private void place(PendingCall pending, int now) {
            int first = Shard.indexOf(BackendServerId.of("s" + random.nextInt(engines.size())), shards);
            for (int i = 0; i < Math.min(shards, MAX_SHARDS_REQUESTED); i++) {
                if (placeAtShard(pending, (first + i) % shards, now)) {
                    return;
                }
            }
            waiting.put(pending.call().attempt(), pending);
        }

        /** Requests placement at one shard. Returns whether the call got a decision. */
        private boolean placeAtShard(PendingCall pending, int shard, int now) {
            String attempt = pending.call().attempt();
            int ageMillis = now - pending.firstRequestedAtMillis();
            DispatchCall call = pending.call();
            DispatchCall current = call.withRemainingTimes(
                    call.aimLeftMillis() - ageMillis,
                    call.firstLeftMillis() - ageMillis,
                    call.deadlineLeftMillis() - ageMillis);
            dispatchers.get(shard).tick(now * MILLI).forEach(each -> applyDecision(each, shard));
            DispatchAnswer answer = dispatchers.get(shard).place(current, now * MILLI);
            Integer previous = shardByAttempt.put(attempt, shard);
            if (previous != null && previous != shard) {
                dispatchers.get(previous).report(new AttemptReport(attempt, AttemptEnd.CANCELLED), now * MILLI);
            }
            if (!(answer instanceof DispatchAnswer.Queued)) {
                applyDecision(answer, shard);
            }
            return !(answer instanceof DispatchAnswer.Queued);
        }

        private void applyDecision(DispatchAnswer answer, int shard) {
            waiting.remove(answer.attempt());
            if (!(answer instanceof DispatchAnswer.Granted grant)) {
                return;
            }
            shardByAttempt.put(grant.attempt(), shard);
            SimulatedEngine.Job job = jobsByAttempt.get(grant.attempt());
            int members = grant.helpers().size() + 1;
            engine(grant.server()).generate(job, members);
            grant.helpers().forEach(each -> engine(each.server()).addPart(job, members));
            firstTokenReported.put(grant.attempt(), false);
        }

        private SimulatedEngine engine(BackendServerId id) {
            return engines.get(Integer.parseInt(id.value().substring(1)));
        }

        @Override
        public void step(int now) {
            firstTokenReported.entrySet().removeIf(each -> {
                SimulatedEngine.Job job = jobsByAttempt.get(each.getKey());
                Dispatcher dispatcher = dispatchers.get(shardByAttempt.get(each.getKey()));
                if (job.hasFirstToken() && !each.getValue()) {
                    each.setValue(true);
                    dispatcher.report(new AttemptReport(each.getKey(), null), now * MILLI);
                }
                if (job.done()) {
                    dispatcher.report(new AttemptReport(each.getKey(), AttemptEnd.DONE), now * MILLI);
                }
                return job.done();
            });
            if (now % 10 == 0) {
                for (int i = 0; i < shards; i++) {
                    int shard = i;
                    dispatchers.get(i).tick(now * MILLI).forEach(each -> applyDecision(each, shard));
                }
            }
            if (shards > 1) {
                retryWaiting(now);
            }
        }

        private void retryWaiting(int now) {
            for (PendingCall each : List.copyOf(waiting.values())) {
                if (each.nextRequestAtMillis() == now
                        && waiting.containsKey(each.call().attempt())) {
                    place(
                            new PendingCall(each.call(), each.firstRequestedAtMillis(), now + RETRY_INTERVAL_MILLIS),
                            now);
                }
            }
        }
    }

    /** Sends each call to the first engine of an order; forms no groups and queues no calls. */
    private final class MinimumPolicy implements Policy {
        private final IntFunction<Comparator<SimulatedEngine>> order;

        /** @param order order of the engines at a time in milliseconds */
        MinimumPolicy(IntFunction<Comparator<SimulatedEngine>> order) {
            this.order = order;
        }

        @Override
        public void place(DispatchCall call, SimulatedEngine.Job job, int now) {
            engines.stream().min(order.apply(now)).orElseThrow().generate(job, 1);
        }

        @Override
        public void step(int now) {
            // No call is queued.
        }
    }
}
