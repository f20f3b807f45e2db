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
    private static final long LEASE = MILLISECONDS.toNanos(2_000);
    private static final long ENGINE_DELAY = MILLISECONDS.toNanos(1_490);
    private static final int FLOOR = 2;
    private static final int ENGINES = 4;
    private static final int OPERATIONS = 12;

    /** A simulated engine. Two of the four ignore fencing numbers. */
    private static final class Engine {
        private final String id;
        private final boolean checksFencing;
        private EngineState state = new EngineState(ModelName.of("m"), "v0", List.of(), "", true);
        private FencingNumber obeyed = FencingNumber.of(0);

        private Engine(int number) {
            id = "e" + number;
            checksFencing = number % 2 == 0;
        }

        OrderAnswer order(EngineOrder order) {
            boolean late = order.fencing().compareTo(obeyed) < 0;
            if (late && checksFencing) {
                return OrderAnswer.STALE_FENCING_NUMBER;
            }
            assertTrue(!late, () -> id + " obeys a deposed leader");
            obeyed = order.fencing();
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
        private final Map<String, ObservedEngine> read = new HashMap<>();
        private final List<PlannedOrder> planned = new ArrayList<>();
        private long until;

        private Leader(long number, long now) {
            planner = new OrderPlanner(SETTINGS, new Leadership(FencingNumber.of(number), now, LEASE));
            until = now + LEASE;
        }

        void renew(long now) {
            until = now < until ? now + LEASE : until;
        }
    }

    private record Sent(Leader by, PlannedOrder order) {}

    private record Arrived(Sent sent, long atNanos) {}

    private static final class World {
        private final ControlFixture control = new ControlFixture();
        private final List<Engine> engines = new ArrayList<>();
        private final List<Leader> leaders = new ArrayList<>();
        private final List<Sent> sent = new ArrayList<>();
        private final List<Arrived> arrived = new ArrayList<>();
        private long now;

        private World() {
            control.submit(1, model("m", "v1", FLOOR));
            for (int i = 0; i < ENGINES; i++) {
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
                case 1, 2 -> work(newest, choice % 4 == 0);
                case 3 -> newest.renew(now);
                case 4 -> engines.forEach(e -> read(any, e));
                case 5 -> plan(any);
                case 6 -> send(any);
                case 7, 8 -> arrive(choice);
                case 9 -> engines.get(choice % ENGINES).finishLoad();
                case 10 -> change(choice);
                default -> leadOn(choice);
            }
            long ready = engines.stream().filter(e -> e.state.ready()).count();
            assertTrue(ready >= FLOOR, () -> "only " + ready + " replicas are ready");
        }

        private void advance(long nanos) {
            now += nanos;
            List<Arrived> due = arrived.stream()
                    .filter(a -> now - a.atNanos() > ENGINE_DELAY)
                    .toList();
            due.forEach(this::obey);
        }

        /** A leader reads, plans and sends, unless it is frozen before it sends the orders. */
        private void work(Leader leader, boolean freezes) {
            engines.forEach(e -> read(leader, e));
            plan(leader);
            if (!freezes) {
                send(leader);
            }
        }

        private void read(Leader leader, Engine engine) {
            ObservedEngine observed =
                    new ObservedEngine(BackendServerId.of(engine.id), engine.checksFencing, false, engine.state, now);
            leader.read.put(engine.id, observed);
        }

        private void plan(Leader leader) {
            OrderPlan plan =
                    leader.planner.plan(control.state.configuration(), leader.read.values(), now, leader.until);
            leader.planned.addAll(plan.orders());
        }

        private void send(Leader leader) {
            leader.planned.stream().filter(o -> o.timeLimitNanos(now) > 0).forEach(o -> sent.add(new Sent(leader, o)));
            leader.planned.clear();
        }

        /**
         * An order reaches its engine, which is slow to act on it, or the sender closed the connection, or the order is
         * lost.
         */
        private void arrive(int choice) {
            if (choice % 2 == 0 && !arrived.isEmpty()) {
                obey(arrived.get(choice / 2 % arrived.size()));
            } else if (!sent.isEmpty()) {
                Sent next = sent.remove(choice / 2 % sent.size());
                if (next.order().timeLimitNanos(now) > 0 && choice % 7 != 0) {
                    arrived.add(new Arrived(next, now));
                }
            }
        }

        private void obey(Arrived next) {
            arrived.remove(next);
            PlannedOrder order = next.sent().order();
            for (Engine each : engines) {
                if (each.id.equals(order.server().value())) {
                    next.sent().by().planner.onAnswer(order.server(), order.order(), each.order(order.order()));
                }
            }
        }

        private void change(int choice) {
            String server = "e" + choice % ENGINES;
            control.submit(control.state.index() + 2, role(server, "m", "v" + choice / 4 % 3));
        }

        private void leadOn(int choice) {
            Leader newest = leaders.get(leaders.size() - 1);
            if (choice % 8 != 0 && now < newest.until) {
                return;
            }
            advance(Math.max(0, newest.until - now));
            leaders.add(new Leader(leaders.size() + 1, now));
        }
    }

    @Property(seed = "46", tries = 3_000)
    void laterLeaderWinsAndTheFloorHolds(@ForAll("steps") List<Integer> steps) {
        World world = new World();
        for (int each : steps) {
            world.step(each % OPERATIONS, each / OPERATIONS);
        }
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return ControlFixture.steps(200, 400);
    }
}
