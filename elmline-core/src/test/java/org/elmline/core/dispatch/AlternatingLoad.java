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
    private static final int MILLIS = 40_000;

    /** The longest deadline; within this time after the last arrival all calls have ended. */
    private static final int LAST_CALL_MILLIS = 15_000;

    /** How long calls were held before the start, and the time after which their callers disconnect then. */
    private static final int HELD_MILLIS = 3_000;

    private static final int PATIENCE_LEFT_MILLIS = 1_000;

    /** Shards that a call requests before it waits. */
    private static final int SHARDS_ASKED = 2;

    /** Interval at which a waiting call is requested again. */
    private static final int ASK_AGAIN_MILLIS = 250;

    private static final ServiceName DESK = ServiceName.of("desk");
    /** Length classes of the calls. */
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
     * @param tokens mean length of the prompt, log-normally distributed up to {@code most}
     * @param spread standard deviation of the logarithm of the length
     * @param most longest prompt in tokens
     * @param events events of an answer
     * @param aim milliseconds to the first token
     * @param gap milliseconds between events
     * @param deadline milliseconds to the end of the answer
     * @param worth value of an answer in time, of a call of mean size
     * @param lateWorth value of a late answer
     */
    record Figures(
            double inLongPhase,
            double inShortPhase,
            double tokens,
            double spread,
            long most,
            int events,
            int aim,
            int gap,
            int deadline,
            double worth,
            double lateWorth) {
        Figures scaled(double rate, double patience) {
            return new Figures(
                    inLongPhase * rate,
                    inShortPhase * rate,
                    tokens,
                    spread,
                    most,
                    events,
                    (int) (aim * patience),
                    (int) (gap * patience),
                    (int) (deadline * patience),
                    worth,
                    lateWorth);
        }

        /** Value of an answer in time, relative to that of the other classes; it grows with the prompt. */
        double worth(long promptTokens, int eventTokens) {
            double size = (promptTokens + 10.0 * eventTokens * events) / (tokens + 10.0 * eventTokens * events);
            return worth * Math.min(4, 0.3 + 0.7 * size);
        }

        double perSecond(int millis) {
            return millis / 10_000 % 2 == 0 ? inLongPhase : inShortPhase;
        }

        long draw(Random random) {
            double log = Math.log(tokens) - spread * spread / 2 + spread * random.nextGaussian();
            return (long) Math.max(500, Math.min(most, Math.exp(log)));
        }
    }

    /** Engines and calls of a deployment. */
    record Deployment(String name, BatchTiming timing, Map<Kind, Figures> figures) {
        /** Large engines, three prompts of 210 thousand tokens per second; calls for 21 engines. */
        static final Deployment LARGE_ENGINES = of(
                "large",
                new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1),
                new Figures(10.3, 80.0, 4_960, 0.9, 23_800, 35, 300, 200, 10_000, 1.3, 0.33),
                new Figures(3.0, 1.2, 45_000, 0.5, 110_000, 21, 1_500, 500, 10_000, 3.1, 0.79),
                new Figures(2.7, 0.05, 210_000, 0.5, 430_000, 17, 3_000, 800, 15_000, 22, 5.4));

        /** Half the memory, slower prefill, four prompts of 133 thousand tokens per second; calls for 21 engines. */
        static final Deployment SMALL_ENGINES = of(
                "small",
                new BatchTiming(11, 232_000, 43, 1.02, 0.00226, 0.00431, 206, 0.138, 2048, 0.075),
                new Figures(10.3, 75.0, 4_960, 0.9, 23_800, 32, 300, 250, 10_000, 1.3, 0.33),
                new Figures(2.2, 0.85, 45_000, 0.5, 110_000, 19, 1_500, 600, 10_000, 3.9, 0.98),
                new Figures(3.9, 0.07, 133_000, 0.55, 600_000, 16, 2_500, 1_000, 15_000, 15, 3.7));

        /** Seven slots, prompts of 300 thousand tokens, few and long passes; calls for 21 engines of 172. */
        static final Deployment MANY_ENGINES = of(
                "many",
                new BatchTiming(7, 450_000, 73, 0.925, 0.011, 0.004, 256, 0.0917, 2048, 0.1),
                new Figures(7.6, 51.0, 4_960, 0.9, 23_800, 24, 309, 250, 10_000, 1.4, 0.34),
                new Figures(2.95, 1.13, 45_000, 0.5, 110_000, 15, 1_514, 600, 10_000, 2.3, 0.58),
                new Figures(1.4, 0.026, 300_000, 0.5, 900_000, 12, 4_024, 1_000, 15_000, 26, 6.6));

        static final List<Deployment> ALL = List.of(LARGE_ENGINES, SMALL_ENGINES);

        private static Deployment of(String name, BatchTiming timing, Figures question, Figures roster, Figures audit) {
            return new Deployment(
                    name, timing, Map.of(Kind.QUESTION, question, Kind.ROSTER, roster, Kind.AUDIT, audit));
        }

        Figures figures(Kind kind) {
            return figures.get(kind);
        }

        /**
         * The same calls for engines and callers of other speeds.
         *
         * @param speed factor for the speed of the engines and the arrival rates
         * @param patience factor for the callers' time limits: to the first token, between events and to the end
         * @param memory factor for the memory of the engines
         */
        Deployment scaled(double speed, double patience, double memory) {
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
            Map<Kind, Figures> other = new EnumMap<>(Kind.class);
            figures.forEach((kind, each) -> other.put(kind, each.scaled(speed, patience)));
            return new Deployment(name + " x" + speed + " patience x" + patience + " memory x" + memory, scaled, other);
        }
    }

    /** Chooses the engines of a call. */
    interface Policy {
        void ask(DispatchCall call, PassEngine.Job job, int now);

        void step(int now);
    }

    private static final Comparator<PassEngine> BY_RUNNING = Comparator.comparingInt(PassEngine::running);

    private final List<PassEngine> engines = new ArrayList<>();
    private final Map<Kind, List<PassEngine.Job>> asked = new EnumMap<>(Kind.class);
    private final List<PassEngine.Job> held = new ArrayList<>();
    private final Deployment deployment;
    private final long seed;
    private final double load;
    private int heldSeconds;
    private int shards = 1;
    private long decidingNanos;

    /**
     * @param engineCount engines of the service
     * @param load part of the deployment's calls that arrive
     */
    AlternatingLoad(Deployment deployment, int engineCount, double load, long seed) {
        this.deployment = deployment;
        this.load = load;
        this.seed = seed;
        for (int i = 0; i < engineCount; i++) {
            engines.add(new PassEngine(deployment.timing));
        }
    }

    /**
     * Adds calls at the start that were held before: those of some seconds of the phase of short calls and of the phase
     * of long prompts. All of them are late already, and their callers disconnect within a second without a first
     * token.
     */
    AlternatingLoad afterHolding(int seconds) {
        heldSeconds = seconds;
        return this;
    }

    /** Divides the engines into so many shards. */
    AlternatingLoad inShards(int count) {
        shards = count;
        return this;
    }

    /** Runs the load through the dispatcher. */
    AlternatingLoad dispatched() {
        play(new Dispatched());
        return this;
    }

    /** Sends each call to the engine with the fewest running calls. */
    AlternatingLoad blind() {
        play(new FirstOf(now -> BY_RUNNING));
        return this;
    }

    /**
     * Sends each call to the engine with the shortest prefill backlog, among equals the one with the fewest running
     * calls.
     */
    AlternatingLoad leastWork() {
        play(new FirstOf(now -> Comparator.comparingDouble((PassEngine each) -> each.waitingMillis(now))
                .thenComparing(BY_RUNNING)));
        return this;
    }

    private void play(Policy policy) {
        Random random = new Random(seed);
        askHeld(random, policy);
        int next = 0;
        for (int now = 0; now < MILLIS + LAST_CALL_MILLIS; now++) {
            for (Kind kind : Kind.values()) {
                if (now < MILLIS
                        && random.nextDouble() < load * deployment.figures(kind).perSecond(now) / 1_000) {
                    Figures figures = deployment.figures(kind);
                    long tokens = figures.draw(random);
                    PassEngine.Job job =
                            new PassEngine.Job(tokens, figures.events(), now, figures.aim(), figures.gap());
                    asked.computeIfAbsent(kind, each -> new ArrayList<>()).add(job);
                    long before = System.nanoTime();
                    policy.ask(call("c" + next++, figures, tokens), job, now);
                    decidingNanos += System.nanoTime() - before;
                }
            }
            long before = System.nanoTime();
            policy.step(now);
            decidingNanos += System.nanoTime() - before;
            for (PassEngine each : engines) {
                each.step(now);
            }
        }
    }

    private void askHeld(Random random, Policy policy) {
        for (Kind kind : Kind.values()) {
            Figures figures = deployment.figures(kind);
            int count = (int) Math.round(heldSeconds * load * (figures.inLongPhase() + figures.inShortPhase()));
            for (int i = 0; i < count; i++) {
                long tokens = figures.draw(random);
                PassEngine.Job job = new PassEngine.Job(tokens, figures.events(), 0, figures.aim(), figures.gap());
                held.add(job);
                DispatchCall call = call("held-" + kind + i, figures, tokens);
                int left = Math.min(figures.deadline() - HELD_MILLIS, PATIENCE_LEFT_MILLIS);
                policy.ask(
                        call.withRemainingTimes(figures.aim() - HELD_MILLIS, left, figures.deadline() - HELD_MILLIS),
                        job,
                        0);
            }
        }
    }

    /** Number of calls that arrived after the start. */
    int calls() {
        return asked.values().stream().mapToInt(List::size).sum();
    }

    /** Mean time in microseconds that the policy took for the decisions and reports of a call. */
    double decidingMicrosPerCall() {
        return decidingNanos / 1e3 / calls();
    }

    /** Part of the calls held before the start that got their whole answer. */
    double heldAnswered() {
        return (double) held.stream().filter(PassEngine.Job::done).count() / held.size();
    }

    /** Part of the calls of a class that were answered in time, with no gap longer than allowed. */
    double onTime(Kind kind) {
        List<PassEngine.Job> jobs = asked.get(kind);
        return (double) jobs.stream().filter(PassEngine.Job::onTime).count() / jobs.size();
    }

    /**
     * Part in time of the calls of a class in a range of prompt sizes, sorted with the largest first; 0 to 0.1 is the
     * largest tenth.
     */
    double onTimeBySize(Kind kind, double from, double to) {
        List<PassEngine.Job> jobs = new ArrayList<>(asked.get(kind));
        jobs.sort(Comparator.comparingLong(PassEngine.Job::promptTokens).reversed());
        List<PassEngine.Job> part = jobs.subList((int) (from * jobs.size()), (int) (to * jobs.size()));
        return (double) part.stream().filter(PassEngine.Job::onTime).count() / part.size();
    }

    /** Value that callers got, as a part of the value with all answers in time. */
    double credit(Kind kind) {
        double earned = 0;
        double owed = 0;
        Figures figures = deployment.figures(kind);
        for (PassEngine.Job each : asked.get(kind)) {
            double worth = figures.worth(each.promptTokens(), deployment.timing.stepsPerPass());
            owed += worth;
            earned += each.onTime() ? worth : each.done() ? worth * figures.lateWorth() / figures.worth() : 0;
        }
        return earned / owed;
    }

    private DispatchCall call(String attempt, Figures figures, long tokens) {
        long answer = (long) deployment.timing.stepsPerPass() * figures.events();
        return new DispatchCall(
                attempt,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                DESK,
                Shard.WHOLE,
                1,
                tokens,
                answer,
                answer,
                figures.aim(),
                figures.gap(),
                figures.deadline(),
                figures.deadline(),
                false,
                List.of());
    }

    /**
     * Places calls through the dispatchers of the shards, which receive reports of first tokens and ends within a
     * millisecond. A call that must wait is requested at other shards at once, and again a quarter of a second later.
     */
    private final class Dispatched implements Policy {
        private final List<Dispatcher> dispatchers = new ArrayList<>();
        private final Map<String, PassEngine.Job> jobs = new HashMap<>();
        private final Map<String, Boolean> running = new HashMap<>();
        private final Map<String, Integer> at = new HashMap<>();
        private final Map<String, Asking> waiting = new HashMap<>();
        private final Random random = new Random(seed);

        private record Asking(DispatchCall call, int askedAt, int nextAt) {}

        Dispatched() {
            RoutedService service = new RoutedService(DESK, 819, deployment.timing);
            List<List<Registration>> servers = new ArrayList<>();
            for (int i = 0; i < shards; i++) {
                servers.add(new ArrayList<>());
                dispatchers.add(new Dispatcher(service, new RetryLimit(0.2, 10, 10_000 * MILLI), 0));
            }
            for (int i = 0; i < engines.size(); i++) {
                BackendServerId id = BackendServerId.of("s" + i);
                Address address = new Address("10.0." + i / 250 + '.' + (i % 250 + 1), 80);
                servers.get(Shard.indexOf(id, shards))
                        .add(new Registration(id, DESK, address, FailureDomain.of("a"), 11, ServerState.READY, 1, 1));
            }
            for (int i = 0; i < shards; i++) {
                dispatchers.get(i).updateServers(service, servers.get(i), 0);
            }
        }

        @Override
        public void ask(DispatchCall call, PassEngine.Job job, int now) {
            jobs.put(call.attempt(), job);
            ask(new Asking(call, now, now + ASK_AGAIN_MILLIS), now);
        }

        private void ask(Asking asking, int now) {
            int first = Shard.indexOf(BackendServerId.of("s" + random.nextInt(engines.size())), shards);
            for (int i = 0; i < Math.min(shards, SHARDS_ASKED); i++) {
                if (askOne(asking, (first + i) % shards, now)) {
                    return;
                }
            }
            waiting.put(asking.call().attempt(), asking);
        }

        /** Requests placement at one shard. Returns whether the call got a decision. */
        private boolean askOne(Asking asking, int shard, int now) {
            String attempt = asking.call().attempt();
            int age = now - asking.askedAt();
            DispatchCall call = asking.call();
            DispatchCall left = call.withRemainingTimes(
                    call.aimLeftMillis() - age, call.firstLeftMillis() - age, call.deadlineLeftMillis() - age);
            dispatchers.get(shard).tick(now * MILLI).forEach(each -> take(each, shard));
            DispatchAnswer answer = dispatchers.get(shard).place(left, now * MILLI);
            Integer before = at.put(attempt, shard);
            if (before != null && before != shard) {
                dispatchers.get(before).report(new AttemptReport(attempt, AttemptEnd.CANCELLED), now * MILLI);
            }
            if (!(answer instanceof DispatchAnswer.Queued)) {
                take(answer, shard);
            }
            return !(answer instanceof DispatchAnswer.Queued);
        }

        private void take(DispatchAnswer answer, int shard) {
            waiting.remove(answer.attempt());
            if (!(answer instanceof DispatchAnswer.Granted grant)) {
                return;
            }
            at.put(grant.attempt(), shard);
            PassEngine.Job job = jobs.get(grant.attempt());
            int members = grant.helpers().size() + 1;
            engine(grant.server()).answer(job, members);
            grant.helpers().forEach(each -> engine(each.server()).help(job, members));
            running.put(grant.attempt(), false);
        }

        private PassEngine engine(BackendServerId id) {
            return engines.get(Integer.parseInt(id.value().substring(1)));
        }

        @Override
        public void step(int now) {
            running.entrySet().removeIf(each -> {
                PassEngine.Job job = jobs.get(each.getKey());
                Dispatcher dispatcher = dispatchers.get(at.get(each.getKey()));
                if (job.begun() && !each.getValue()) {
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
                    dispatchers.get(i).tick(now * MILLI).forEach(each -> take(each, shard));
                }
            }
            if (shards > 1) {
                askAgain(now);
            }
        }

        private void askAgain(int now) {
            for (Asking each : List.copyOf(waiting.values())) {
                if (each.nextAt() == now && waiting.containsKey(each.call().attempt())) {
                    ask(new Asking(each.call(), each.askedAt(), now + ASK_AGAIN_MILLIS), now);
                }
            }
        }
    }

    /** Sends each call to the first engine of an order; forms no groups and queues no calls. */
    private final class FirstOf implements Policy {
        private final IntFunction<Comparator<PassEngine>> order;

        /** @param order order of the engines at a time in milliseconds */
        FirstOf(IntFunction<Comparator<PassEngine>> order) {
            this.order = order;
        }

        @Override
        public void ask(DispatchCall call, PassEngine.Job job, int now) {
            engines.stream().min(order.apply(now)).orElseThrow().answer(job, 1);
        }

        @Override
        public void step(int now) {
            // No call is queued.
        }
    }
}
