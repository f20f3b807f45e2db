package org.elmline.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.config.BackendRole;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.OrderAnswer;
import org.junit.jupiter.api.Test;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.elmline.core.control.ControlFixture.model;
import static org.elmline.core.control.ControlFixture.role;
import static org.elmline.core.control.HoldReason.AWAITING_EFFECT;
import static org.elmline.core.control.HoldReason.LEADER_LEASE;
import static org.elmline.core.control.HoldReason.LEADER_SETTLING;
import static org.elmline.core.control.HoldReason.LOAD_RATE;
import static org.elmline.core.control.HoldReason.NOT_OBSERVED;
import static org.elmline.core.control.HoldReason.READY_FLOOR;
import static org.elmline.core.control.HoldReason.REJECTED;
import static org.junit.jupiter.api.Assertions.assertEquals;

class OrderPlannerTest {
    private static final OrderSettings SETTINGS = new OrderSettings(500, 1_000, 5_000, 60, 2);
    private static final Leadership LEADERSHIP = new Leadership(FencingNumber.of(7), 0, at(2_000));

    private final ControlFixture control = new ControlFixture();
    private final Map<String, ObservedEngine> engines = new TreeMap<>();
    private final OrderPlanner planner = new OrderPlanner(SETTINGS, LEADERSHIP);
    private OrderPlan plan;

    @Test
    void repeatsTheCompleteOrderUntilTheEngineReportsIt() {
        control.submit(1, model("m", "v2", 0), role("e1", "m", "v2", "roster"));
        observe("e1", "v1", true, 10_000);

        EngineOrder desired =
                new EngineOrder(FencingNumber.of(7), model("m", "v2").name(), "v2", List.of("roster"), "decode");
        assertEquals(List.of(desired), ordered(10_100));
        assertEquals(List.of(), ordered(10_200));
        assertHeld(AWAITING_EFFECT);
        observe("e1", "v1", true, 11_000);
        assertEquals(List.of(desired), ordered(11_100));

        engines.put("e1", observed("e1", desired.version(), desired.adapters(), false, 11_200));
        assertEquals(List.of(), ordered(11_300));
        assertHeld();
    }

    @Test
    void orderChangesTheRoleThatATicketNames() {
        BackendRole requested =
                new BackendRole(BackendServerId.of("e1"), model("m", "v1").name(), "v1", List.of(), "prefill", true);
        control.submit(1, model("m", "v1", 0), requested);
        observe("e1", "v1", true, 10_000);

        EngineOrder desired =
                new EngineOrder(FencingNumber.of(7), model("m", "v1").name(), "v1", List.of(), "prefill");
        assertEquals(List.of(desired), ordered(10_100));
    }

    // An operator moves all replicas of a model to a new version at once. If all orders were sent together, no replica
    // would be ready and every request for the model would be refused while the weights load.
    @Test
    void roleChangesKeepTheMinimumOfReadyReplicas() {
        control.submit(1, model("m", "v2", 2), role("e1", "m", "v2"), role("e2", "m", "v2"), role("e3", "m", "v2"));
        for (String each : List.of("e1", "e2", "e3")) {
            observe(each, "v1", true, 10_000);
        }

        assertEquals(1, ordered(10_100).size());
        assertHeld(READY_FLOOR, READY_FLOOR);
        assertEquals(0, ordered(10_200).size());
        observe("e1", "v2", false, 10_300);
        assertEquals(0, ordered(10_400).size());
        observe("e1", "v2", true, 10_500);
        assertEquals(1, ordered(10_600).size());
        assertHeld(READY_FLOOR);
    }

    @Test
    void enginesWithStaleStateNeitherCountAsReadyNorReceiveOrders() {
        control.submit(1, model("m", "v2", 1), role("e1", "m", "v2"));
        observe("e1", "v1", true, 10_000);
        observe("e2", "v1", true, 4_000);

        assertEquals(0, ordered(10_100).size());
        assertHeld(READY_FLOOR);
        observe("e2", "v1", true, 15_000);
        assertEquals(0, ordered(15_100).size());
        assertHeld(NOT_OBSERVED);
    }

    @Test
    void weightLoadsStayWithinTheStoresRate() {
        control.submit(1, model("m", "v2", 0), role("e1", "m", "v2"), role("e2", "m", "v2"), role("e3", "m", "v2"));
        for (String each : List.of("e1", "e2", "e3")) {
            observe(each, "v1", false, 10_000);
        }

        assertEquals(2, ordered(10_100).size());
        assertHeld(LOAD_RATE);
        assertEquals(0, ordered(10_900).size());
        assertEquals(3, ordered(11_200).size(), "two repeats and the third order, for which a token is available");
    }

    // The earlier leader ordered an engine just before its lease ended. Some engines would execute that late order
    // after the new leader's, and an engine that it takes out of service still reports ready. Until the earlier lease
    // has certainly ended, only harmless orders may be sent: those to engines that check fencing numbers and serve
    // nothing.
    @Test
    void newLeaderWaitsUntilTheEarlierLeaseHasExpired() {
        control.submit(1, model("m", "v2", 0), role("checks", "m", "v2"), role("ignores", "m", "v2"));
        control.submit(2, role("ready", "m", "v2"));
        observe("checks", "v1", false, 1_500);
        observe("ignores", "v1", false, 1_500);
        observe("ready", "v1", true, 1_500);

        assertEquals(1, ordered(2_100).size());
        assertHeld(LEADER_SETTLING, LEADER_SETTLING);
        observe("checks", "v2", true, 2_200);
        observe("ignores", "v1", false, 2_000);
        observe("ready", "v1", true, 2_000);
        assertEquals(2, ordered(4_000).size());
    }

    // A leader plans an order and is frozen before it sends it. When it resumes, another one leads, and an engine that
    // ignores fencing numbers would execute the old order. The time limit for sending must be over by then, and no
    // order may be planned when too little of the lease remains.
    @Test
    void orderIsSentOnlyWellInsideTheLeadersLease() {
        control.submit(1, model("m", "v2", 0), role("e1", "m", "v2"));
        observe("e1", "v1", false, 10_000);

        plan = planner.plan(control.state.configuration(), engines.values(), at(10_100), at(10_199));
        assertHeld(LEADER_LEASE);
        plan = planner.plan(control.state.configuration(), engines.values(), at(10_100), at(10_601));
        PlannedOrder order = plan.orders().get(0);

        assertEquals(150, order.timeLimitMillis(at(10_200)));
        assertEquals(0, order.timeLimitNanos(at(10_351)));
        assertEquals(0, order.timeLimitNanos(at(70_000)));
    }

    @Test
    void rejectedOrdersAreNotRepeated() {
        control.submit(1, model("m", "v2", 0), role("e1", "m", "v2"));
        observe("e1", "v1", true, 10_000);
        EngineOrder order = ordered(10_100).get(0);

        planner.onAnswer(BackendServerId.of("e1"), order, OrderAnswer.INVALID);
        assertEquals(0, ordered(12_000).size());
        assertHeld(REJECTED);
        control.submit(2, role("e1", "m", "v3"));
        assertEquals(1, ordered(12_100).size());
        planner.onAnswer(BackendServerId.of("e1"), order, OrderAnswer.STALE_FENCING_NUMBER);
        assertEquals(0, ordered(14_000).size());
        assertHeld(LEADER_LEASE);
    }

    private List<EngineOrder> ordered(long millis) {
        plan = planner.plan(control.state.configuration(), engines.values(), at(millis), at(millis + 10_000));
        return plan.orders().stream().map(PlannedOrder::order).toList();
    }

    private void assertHeld(HoldReason... reasons) {
        List<HoldReason> held = new ArrayList<>();
        plan.held().forEach(h -> held.add(h.reason()));
        assertEquals(List.of(reasons), held);
    }

    private void observe(String id, String version, boolean ready, long millis) {
        engines.put(id, observed(id, version, List.of(), ready, millis));
    }

    private static ObservedEngine observed(
            String id, String version, List<String> adapters, boolean ready, long millis) {
        EngineState state = new EngineState(model("m", "v").name(), version, adapters, "decode", ready);
        return new ObservedEngine(BackendServerId.of(id), !id.equals("ignores"), false, state, at(millis));
    }

    private static long at(long millis) {
        return MILLISECONDS.toNanos(millis);
    }
}
