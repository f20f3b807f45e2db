package org.elmline.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.ModelName;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.OrderAnswer;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.elmline.core.control.ControlFixture.model;
import static org.elmline.core.control.ControlFixture.role;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Leaders change, freeze with unsent orders and resume, over engines that check fencing numbers and engines that ignore
 * them: no engine executes an order of an earlier leader after one of a later leader, and the minimum of ready replicas
 * holds.
 */
class OrderPropertiesTest {
    private static final OrderSettings SETTINGS = new OrderSettings(500, 1_000, 5_000, 60_000, 9);
    private static final long LEADER_LEASE_NANOS = MILLISECONDS.toNanos(2_000);
    private static final long ENGINE_DELAY_NANOS = MILLISECONDS.toNanos(1_490);
    private static final int MIN_READY_REPLICAS = 2;
    private static final int ENGINE_COUNT = 4;
    private static final int OPERATION_COUNT = 12;

    /** A simulated engine. Two of the four ignore fencing numbers. */
    private static final class Engine {
        private final String id;
        private final boolean checksFencing;
        private EngineState state = new EngineState(ModelName.of("m"), "v0", List.of(), "", true);
        private FencingNumber highestFencing = FencingNumber.of(0);

        private Engine(int number) {
            id = "e" + number;
            checksFencing = number % 2 == 0;
        }

        OrderAnswer order(EngineOrder order) {
            boolean outdated = order.fencing().compareTo(highestFencing) < 0;
            if (outdated && checksFencing) {
                return OrderAnswer.STALE_FENCING_NUMBER;
            }
            assertTrue(!outdated, () -> id + " executes an order of a deposed leader");
            highestFencing = order.fencing();
            boolean changes = !order.version().equals(state.version());
            boolean ready = state.ready() && !changes;
            state = new EngineState(order.model(), order.version(), order.adapters(), order.role(), ready);
            return OrderAnswer.ACCEPTED;
        }

        void finishLoad() {
            state = new EngineState(state.model(), state.version(), state.adapters(), state.role(), true);
        }
    }

    /**
     * A leader with the states it read and the orders it planned; it may be frozen past the end of its lease at any
     * point.
     */
    private static final class Leader {
        private final OrderPlanner planner;
        private final Map<String, ObservedEngine> observations = new HashMap<>();
        private final List<PlannedOrder> planned = new ArrayList<>();
        private long untilNanos;

        private Leader(long number, long nowNanos) {
            planner =
                    new OrderPlanner(SETTINGS, new Leadership(FencingNumber.of(number), nowNanos, LEADER_LEASE_NANOS));
            untilNanos = nowNanos + LEADER_LEASE_NANOS;
        }

        void renew(long nowNanos) {
            untilNanos = nowNanos < untilNanos ? nowNanos + LEADER_LEASE_NANOS : untilNanos;
        }
    }

    private record SentOrder(Leader leader, PlannedOrder order) {}

    private record ReceivedOrder(SentOrder sent, long receivedNanos) {}

    private static final class Simulation {
        private final ControlFixture control = new ControlFixture();
        private final List<Engine> engines = new ArrayList<>();
        private final List<Leader> leaders = new ArrayList<>();
        private final List<SentOrder> sent = new ArrayList<>();
        private final List<ReceivedOrder> received = new ArrayList<>();
        private long nowNanos;

        private Simulation() {
            control.submit(1, model("m", "v1", MIN_READY_REPLICAS));
            for (int i = 0; i < ENGINE_COUNT; i++) {
                engines.add(new Engine(i));
                control.submit(2 + i, role("e" + i, "m", "v1"));
            }
            leaders.add(new Leader(1, 0));
        }

        void step(int operation, int choice) {
            Leader newest = leaders.get(leaders.size() - 1);
            Leader any = leaders.get(choice % leaders.size());
            switch (operation) {
                case 0 -> advance(MILLISECONDS.toNanos(choice % 1_000));
                case 1, 2 -> readPlanAndSend(newest, choice % 4 == 0);
                case 3 -> newest.renew(nowNanos);
                case 4 -> engines.forEach(e -> read(any, e));
                case 5 -> plan(any);
                case 6 -> send(any);
                case 7, 8 -> deliver(choice);
                case 9 -> engines.get(choice % ENGINE_COUNT).finishLoad();
                case 10 -> changeRole(choice);
                default -> changeLeader(choice);
            }
            long ready = engines.stream().filter(e -> e.state.ready()).count();
            assertTrue(ready >= MIN_READY_REPLICAS, () -> "only " + ready + " replicas are ready");
        }

        private void advance(long nanos) {
            nowNanos += nanos;
            List<ReceivedOrder> due = received.stream()
                    .filter(a -> nowNanos - a.receivedNanos() > ENGINE_DELAY_NANOS)
                    .toList();
            due.forEach(this::execute);
        }

        /** A leader reads, plans and sends, unless it is frozen before it sends the orders. */
        private void readPlanAndSend(Leader leader, boolean freezes) {
            engines.forEach(e -> read(leader, e));
            plan(leader);
            if (!freezes) {
                send(leader);
            }
        }

        private void read(Leader leader, Engine engine) {
            ObservedEngine observed = new ObservedEngine(
                    BackendServerId.of(engine.id), engine.checksFencing, false, engine.state, nowNanos);
            leader.observations.put(engine.id, observed);
        }

        private void plan(Leader leader) {
            OrderPlan plan = leader.planner.plan(
                    control.state.configuration(), leader.observations.values(), nowNanos, leader.untilNanos);
            leader.planned.addAll(plan.orders());
        }

        private void send(Leader leader) {
            leader.planned.stream()
                    .filter(o -> o.timeLimitNanos(nowNanos) > 0)
                    .forEach(o -> sent.add(new SentOrder(leader, o)));
            leader.planned.clear();
        }

        /**
         * An order reaches its engine, which is slow to act on it, or the sender closed the connection, or the order is
         * lost.
         */
        private void deliver(int choice) {
            if (choice % 2 == 0 && !received.isEmpty()) {
                execute(received.get(choice / 2 % received.size()));
            } else if (!sent.isEmpty()) {
                SentOrder next = sent.remove(choice / 2 % sent.size());
                if (next.order().timeLimitNanos(nowNanos) > 0 && choice % 7 != 0) {
                    received.add(new ReceivedOrder(next, nowNanos));
                }
            }
        }

        private void execute(ReceivedOrder next) {
            received.remove(next);
            PlannedOrder order = next.sent().order();
            for (Engine each : engines) {
                if (each.id.equals(order.server().value())) {
                    next.sent().leader().planner.onAnswer(order.server(), order.order(), each.order(order.order()));
                }
            }
        }

        private void changeRole(int choice) {
            String server = "e" + choice % ENGINE_COUNT;
            control.submit(control.state.index() + 2, role(server, "m", "v" + choice / 4 % 3));
        }

        private void changeLeader(int choice) {
            Leader newest = leaders.get(leaders.size() - 1);
            if (choice % 8 != 0 && nowNanos < newest.untilNanos) {
                return;
            }
            advance(Math.max(0, newest.untilNanos - nowNanos));
            leaders.add(new Leader(leaders.size() + 1, nowNanos));
        }
    }

    @Property(seed = "46", tries = 3_000)
    void noEngineExecutesAnOutdatedOrderAndTheReadyMinimumHolds(@ForAll("steps") List<Integer> steps) {
        Simulation simulation = new Simulation();
        for (int each : steps) {
            simulation.step(each % OPERATION_COUNT, each / OPERATION_COUNT);
        }
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return ControlFixture.steps(200, 400);
    }
}
