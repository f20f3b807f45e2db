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
 * The load of the users' heaviest days, without a network: ten seconds of long prompts, ten of questions, in turn. The same
 * calls go through the dispatcher and, as a baseline, to the engine with the fewest running calls.
 */
final class AlternatingLoad {
    private static final long MILLI = 1_000_000L;
    private static final int MILLIS = 40_000;

    /** The longest deadline: by then the last call has ended one way or the other. */
    private static final int LAST_CALL_MILLIS = 15_000;

    private static final ServiceName DESK = ServiceName.of("desk");
    private static final BatchTiming TIMING =
            new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1);

    /** A kind of call: how often in each phase, how long, and what it is worth to callers. */
    enum Kind {
        QUESTION(10.3, 80.0, 4_960, 0.9, 23_800, 35, 300, 200, 10_000, 1.3, 0.33),
        ROSTER(3.0, 1.2, 45_000, 0.5, 110_000, 21, 1_500, 500, 10_000, 3.1, 0.79),
        AUDIT(2.7, 0.05, 210_000, 0.5, 430_000, 17, 3_000, 800, 15_000, 22, 5.4);

        private final double inLongPhase;
        private final double inShortPhase;
        private final double tokens;
        private final double spread;
        private final long most;
        private final int events;
        private final int aim;
        private final int gap;
        private final int deadline;
        private final double worth;
        private final double lateWorth;

        Kind(
                double inLong,
                double inShort,
                double tokens,
                double spread,
                long most,
                int events,
                int aim,
                int gap,
                int deadline,
                double worth,
                double lateWorth) {
            this.inLongPhase = inLong;
            this.inShortPhase = inShort;
            this.tokens = tokens;
            this.spread = spread;
            this.most = most;
            this.events = events;
            this.aim = aim;
            this.gap = gap;
            this.deadline = deadline;
            this.worth = worth;
            this.lateWorth = lateWorth;
        }

        /** What an answer in time is worth to callers, against that of the others; it grows with the prompt. */
        double worth(long promptTokens) {
            double size = (promptTokens + 10.0 * 46 * events) / (tokens + 10.0 * 46 * events);
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

    /** Where a call goes. */
    interface Policy {
        void ask(PlaceCall call, PassEngine.Job job, int now);

        void step(int now);
    }

    private static final Comparator<PassEngine> BY_RUNNING = Comparator.comparingInt(PassEngine::running);

    private final List<PassEngine> engines = new ArrayList<>();
    private final Map<Kind, List<PassEngine.Job>> asked = new EnumMap<>(Kind.class);
    private final long seed;
    private final double load;

    /**
     * @param engineCount engines of the service
     * @param load part of the calls of the larger site that come
     */
    AlternatingLoad(int engineCount, double load, long seed) {
        this.load = load;
        this.seed = seed;
        for (int i = 0; i < engineCount; i++) {
            engines.add(new PassEngine(TIMING));
        }
    }

    /** Plays the load through the dispatcher. */
    AlternatingLoad dispatched() {
        play(new Dispatched());
        return this;
    }

    /** Plays the load to the engine with the fewest running calls. */
    AlternatingLoad blind() {
        play(new FirstOf(now -> BY_RUNNING));
        return this;
    }

    /** Plays the load to the engine that has the least to read, the fewest running calls among equals. */
    AlternatingLoad leastWork() {
        play(new FirstOf(now -> Comparator.comparingDouble((PassEngine each) -> each.waitingMillis(now))
                .thenComparing(BY_RUNNING)));
        return this;
    }

    private void play(Policy policy) {
        Random random = new Random(seed);
        int next = 0;
        for (int now = 0; now < MILLIS + LAST_CALL_MILLIS; now++) {
            for (Kind kind : Kind.values()) {
                if (now < MILLIS && random.nextDouble() < load * kind.perSecond(now) / 1_000) {
                    long tokens = kind.draw(random);
                    PassEngine.Job job = new PassEngine.Job(tokens, kind.events, now, kind.aim, kind.gap);
                    asked.computeIfAbsent(kind, each -> new ArrayList<>()).add(job);
                    policy.ask(call("c" + next++, kind, tokens), job, now);
                }
            }
            policy.step(now);
            for (PassEngine each : engines) {
                each.step(now);
            }
        }
    }

    /** Part of the calls of a kind that were answered in time, without a longer pause than allowed. */
    double onTime(Kind kind) {
        List<PassEngine.Job> jobs = asked.get(kind);
        return (double) jobs.stream().filter(PassEngine.Job::onTime).count() / jobs.size();
    }

    /** Calls of a kind whose prompts are of these sizes, the largest tenth first: part of them in time. */
    double onTimeBySize(Kind kind, double from, double to) {
        List<PassEngine.Job> jobs = new ArrayList<>(asked.get(kind));
        jobs.sort(Comparator.comparingLong(PassEngine.Job::promptTokens).reversed());
        List<PassEngine.Job> part = jobs.subList((int) (from * jobs.size()), (int) (to * jobs.size()));
        return (double) part.stream().filter(PassEngine.Job::onTime).count() / part.size();
    }

    /** What callers got of what they would have got with every answer in time. */
    double credit(Kind kind) {
        double earned = 0;
        double owed = 0;
        for (PassEngine.Job each : asked.get(kind)) {
            double worth = kind.worth(each.promptTokens());
            owed += worth;
            earned += each.onTime() ? worth : each.done() ? worth * kind.lateWorth / kind.worth : 0;
        }
        return earned / owed;
    }

    private static PlaceCall call(String attempt, Kind kind, long tokens) {
        return new PlaceCall(
                attempt,
                HostId.of("e"),
                1,
                FailureDomain.of("a"),
                DESK,
                1,
                tokens,
                46L * kind.events,
                46L * kind.events,
                kind.aim,
                kind.gap,
                kind.deadline,
                kind.deadline,
                false,
                List.of());
    }

    /** The dispatcher, told of first tokens and ends a millisecond after they come. */
    private final class Dispatched implements Policy {
        private final Dispatcher dispatcher =
                new Dispatcher(new RoutedService(DESK, 819, TIMING), new RetryLimit(0.2, 10, 10_000 * MILLI), 0);
        private final Map<String, PassEngine.Job> jobs = new HashMap<>();
        private final Map<String, Boolean> running = new HashMap<>();

        Dispatched() {
            List<Registration> servers = new ArrayList<>();
            for (int i = 0; i < engines.size(); i++) {
                servers.add(new Registration(
                        BackendServerId.of("s" + i),
                        DESK,
                        new Address("10.0.0." + (i + 1), 80),
                        FailureDomain.of("a"),
                        11,
                        ServerState.READY,
                        1,
                        1));
            }
            dispatcher.servers(new RoutedService(DESK, 819, TIMING), servers, 0);
        }

        @Override
        public void ask(PlaceCall call, PassEngine.Job job, int now) {
            jobs.put(call.attempt(), job);
            take(dispatcher.place(call, now * MILLI));
        }

        private void take(PlaceAnswer answer) {
            if (!(answer instanceof PlaceAnswer.Granted grant)) {
                return;
            }
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
                dispatcher.tick(now * MILLI).forEach(this::take);
            }
        }
    }

    /** The engine that comes first in an order; forms no groups, and lets nothing wait. */
    private final class FirstOf implements Policy {
        private final IntFunction<Comparator<PassEngine>> order;

        /** @param order of the engines at a time in milliseconds */
        FirstOf(IntFunction<Comparator<PassEngine>> order) {
            this.order = order;
        }

        @Override
        public void ask(PlaceCall call, PassEngine.Job job, int now) {
            engines.stream().min(order.apply(now)).orElseThrow().answer(job, 1);
        }

        @Override
        public void step(int now) {
            // Nothing waits.
        }
    }
}
