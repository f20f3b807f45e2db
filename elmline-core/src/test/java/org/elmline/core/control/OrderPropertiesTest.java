package org.elmline.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
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
 * Leaders that follow one another, freeze with orders in hand and wake, over engines that check fencing numbers and
 * engines that ignore them: no engine obeys an earlier leader after a later one, and the floor of ready replicas holds.
 */
class OrderPropertiesTest {
    private static final OrderSettings SETTINGS = new OrderSettings(500, 1_000, 5_000, 60, 2);
    private static final long LEASE = MILLISECONDS.toNanos(2_000);
    private static final int FLOOR = 2;
    private static final int ENGINES = 4;
    private static final int OPERATIONS = 12;

    /** Two of the four engines ignore fencing numbers. */
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
    }

    /** A leader with what it read and planned; it may sleep through its own end at any point. */
    private static final class Leader {
        private final OrderPlanner planner;
        private final Map<String, ObservedEngine> read = new HashMap<>();
        private final List<PlannedOrder> planned = new ArrayList<>();
        private long until;

        private Leader(long number, long now) {
            planner = new OrderPlanner(SETTINGS, new Leadership(FencingNumber.of(number), now, LEASE));
            until = now + LEASE;
        }
    }

    private record Sent(Leader by, PlannedOrder order) {}

    private static final class World {
        private final ControlFixture control = new ControlFixture();
        private final List<Engine> engines = new ArrayList<>();
        private final List<Leader> leaders = new ArrayList<>();
        private final List<Sent> sent = new ArrayList<>();
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
            Leader leader = leaders.get(choice % 3 == 0 ? choice % leaders.size() : leaders.size() - 1);
            switch (operation) {
                case 0 -> now += MILLISECONDS.toNanos(choice % 700);
                case 1, 2 -> engines.forEach(e -> read(leader, e));
                case 3, 4 -> plan(leader);
                case 5, 6 -> send(leader, choice);
                case 7, 8 -> arrive(choice);
                case 9 -> loaded(engines.get(choice % ENGINES));
                case 10 -> change(choice);
                default -> leadOn(choice);
            }
            long ready = engines.stream().filter(e -> e.state.ready()).count();
            assertTrue(ready >= FLOOR, () -> "only " + ready + " replicas are ready");
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

        private void send(Leader leader, int choice) {
            if (leader.planned.isEmpty()) {
                return;
            }
            PlannedOrder order = leader.planned.remove(choice % leader.planned.size());
            if (order.timeLimitNanos(now) > 0) {
                sent.add(new Sent(leader, order));
            }
        }

        /** The connection is given up when the time limit is over, so nothing arrives later. */
        private void arrive(int choice) {
            if (sent.isEmpty()) {
                return;
            }
            Sent next = sent.remove(choice % sent.size());
            PlannedOrder order = next.order();
            if (order.timeLimitNanos(now) > 0 && choice % 5 != 0) {
                Engine engine = engines.stream()
                        .filter(e -> e.id.equals(order.server().value()))
                        .findFirst()
                        .orElseThrow();
                next.by().planner.answered(order.server(), order.order(), engine.order(order.order()));
            }
        }

        private void loaded(Engine engine) {
            EngineState state = engine.state;
            engine.state = new EngineState(state.model(), state.version(), state.adapters(), state.role(), true);
        }

        private void change(int choice) {
            String server = "e" + choice % ENGINES;
            control.submit(control.state.index() + 2, role(server, "m", "v" + choice / 4 % 3));
        }

        private void leadOn(int choice) {
            Leader newest = leaders.get(leaders.size() - 1);
            if (choice % 3 != 0 && now < newest.until) {
                newest.until = now + LEASE;
                return;
            }
            now = Math.max(now, newest.until);
            leaders.add(new Leader(leaders.size() + 1, now));
        }
    }

    @Property(seed = "46", tries = 2_000)
    void laterLeaderWinsAndTheFloorHolds(
            @ForAll @Size(min = 80, max = 250) List<@IntRange(min = 0, max = 99_999) Integer> steps) {
        World world = new World();
        for (int each : steps) {
            world.step(each % OPERATIONS, each / OPERATIONS);
        }
    }
}
