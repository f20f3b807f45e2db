package org.elmline.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ModelName;
import org.elmline.core.config.BackendRole;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineState;
import org.elmline.core.engine.OrderAnswer;

/**
 * Decides a leader's orders to engines; each leadership has its own planner. An order contains the complete configured
 * state and is repeated until the state read back from the engine matches it, so that a lost order, a lost answer and a
 * restarted engine need no special handling. Not safe for concurrent use.
 */
public final class OrderPlanner {
    /**
     * The time limit of an order is at most half of the remaining lease; if that is less than the configured timeout
     * divided by this number, the order is not sent.
     */
    private static final int MIN_TIMEOUT_DIVISOR = 10;

    private final OrderSettings settings;
    private final Leadership leadership;
    private final TokenBucket loadRateLimit;
    private final Map<BackendServerId, SentOrder> lastOrders = new HashMap<>();
    private final Map<BackendServerId, EngineOrder> rejected = new HashMap<>();
    private boolean deposed;

    /** The last order to an engine; {@code observed} once the state read back from it matched. */
    private record SentOrder(EngineOrder order, long sentAtNanos, boolean observed) {}

    public OrderPlanner(OrderSettings settings, Leadership leadership) {
        this.settings = settings;
        this.leadership = leadership;
        this.loadRateLimit =
                new TokenBucket(settings.loadsPerMinute(), settings.loadBurst(), leadership.startedNanos());
    }

    /**
     * Plans the orders to send now.
     *
     * @param engines all announced engines; the earlier orders and rejections of one that is missing are discarded
     * @param nowNanos the leader's monotonic clock
     * @param leaderUntilNanos end of the leader's own lease, on the same clock
     */
    public OrderPlan plan(
            Configuration configuration, Collection<ObservedEngine> engines, long nowNanos, long leaderUntilNanos) {
        Map<BackendServerId, ObservedEngine> enginesById = new TreeMap<>();
        engines.forEach(e -> enginesById.put(e.id(), e));
        lastOrders.keySet().retainAll(enginesById.keySet());
        rejected.keySet().retainAll(enginesById.keySet());
        enginesById.values().forEach(this::markObserved);
        PlanningPass pass = new PlanningPass(
                configuration, nowNanos, leaderUntilNanos, readyReplicas(enginesById.values(), nowNanos));
        for (ObservedEngine each : enginesById.values()) {
            pass.planEngine(each);
        }
        return new OrderPlan(pass.orders, pass.held);
    }

    /** Records an engine's answer to an order. */
    public void onAnswer(BackendServerId server, EngineOrder order, OrderAnswer answer) {
        if (answer == OrderAnswer.STALE_FENCING_NUMBER) {
            deposed = true;
        }
        if (answer == OrderAnswer.INVALID) {
            rejected.put(server, order);
            lastOrders.remove(server);
        }
    }

    private void markObserved(ObservedEngine engine) {
        SentOrder last = lastOrders.get(engine.id());
        boolean readSince = last != null && engine.state() != null && engine.observedNanos() - last.sentAtNanos() > 0;
        if (readSince && matches(engine.state(), last.order())) {
            lastOrders.put(engine.id(), new SentOrder(last.order(), last.sentAtNanos(), true));
        }
    }

    private boolean isAwaitingEffect(BackendServerId server) {
        SentOrder last = lastOrders.get(server);
        return last != null && !last.observed();
    }

    /**
     * Counts the replicas of each model that will stay ready. An engine with an order in flight is not counted although
     * it still reports ready: it stops being ready as soon as the order arrives.
     */
    private Map<ModelName, Integer> readyReplicas(Collection<ObservedEngine> engines, long nowNanos) {
        Map<ModelName, Integer> ready = new HashMap<>();
        for (ObservedEngine each : engines) {
            boolean willStayReady = isFresh(each, nowNanos) && !each.leaving() && !isAwaitingEffect(each.id());
            if (willStayReady && each.state().ready()) {
                ready.merge(each.state().model(), 1, Integer::sum);
            }
        }
        return ready;
    }

    private boolean isFresh(ObservedEngine engine, long nowNanos) {
        return engine.state() != null && nowNanos - engine.observedNanos() < settings.maxStateAgeNanos();
    }

    private static boolean matches(EngineState state, EngineOrder order) {
        return state.model().equals(order.model())
                && state.version().equals(order.version())
                && new HashSet<>(state.adapters()).equals(new HashSet<>(order.adapters()))
                && Objects.equals(state.role(), order.role());
    }

    /**
     * One pass over the engines; orders planned early in it count towards the minimum of ready replicas and the load
     * rate of later ones.
     */
    private final class PlanningPass {
        private final Configuration configuration;
        private final long nowNanos;
        private final long sendDeadlineNanos;
        private final boolean leaseLongEnough;
        private final Map<ModelName, Integer> readyReplicas;
        private final List<PlannedOrder> orders = new ArrayList<>();
        private final List<OrderPlan.Held> held = new ArrayList<>();

        private PlanningPass(
                Configuration configuration, long nowNanos, long leaderUntilNanos, Map<ModelName, Integer> ready) {
            this.configuration = configuration;
            this.nowNanos = nowNanos;
            long limit = Math.min(settings.timeoutNanos(), (leaderUntilNanos - nowNanos) / 2);
            this.sendDeadlineNanos = nowNanos + limit;
            this.leaseLongEnough = limit >= settings.timeoutNanos() / MIN_TIMEOUT_DIVISOR;
            this.readyReplicas = ready;
        }

        private void planEngine(ObservedEngine engine) {
            VersionedObject roleObject =
                    configuration.object("backend-role/" + engine.id()).orElse(null);
            if (roleObject == null || engine.leaving()) {
                return;
            }
            BackendRole role = (BackendRole) roleObject.object();
            if (!isFresh(engine, nowNanos)) {
                hold(engine, HoldReason.NOT_OBSERVED);
                return;
            }
            EngineOrder desired = new EngineOrder(
                    leadership.fencing(),
                    role.model(),
                    role.version(),
                    role.adapters(),
                    role.role().isEmpty() ? engine.state().role() : role.role());
            if (matches(engine.state(), desired) && !isAwaitingEffect(engine.id())) {
                return;
            }
            HoldReason reason = holdReason(engine, role, desired);
            if (reason != null) {
                hold(engine, reason);
                return;
            }
            addOrder(engine, desired);
        }

        private void hold(ObservedEngine engine, HoldReason reason) {
            held.add(new OrderPlan.Held(engine.id(), reason));
        }

        private HoldReason holdReason(ObservedEngine engine, BackendRole role, EngineOrder desired) {
            if (deposed || !leaseLongEnough) {
                return HoldReason.LEADER_LEASE;
            }
            if (configuration.model(role.model()).isEmpty()) {
                return HoldReason.MODEL_REMOVED;
            }
            if (desired.equals(rejected.get(engine.id()))) {
                return HoldReason.REJECTED;
            }
            boolean checksFencing = engine.checksFencing() && role.checksFencing();
            if (!isSettledFor(engine) && (!checksFencing || isDisruptive(engine))) {
                return HoldReason.LEADER_SETTLING;
            }
            SentOrder last = lastOrders.get(engine.id());
            if (isEarlierOrderInFlight(last, desired)) {
                return HoldReason.EARLIER_ORDER;
            }
            boolean awaitingEffect = isAwaitingEffect(engine.id());
            if (awaitingEffect && last.order().equals(desired)) {
                return nowNanos - last.sentAtNanos() < settings.repeatNanos() ? HoldReason.AWAITING_EFFECT : null;
            }
            if (!awaitingEffect
                    && isDisruptive(engine)
                    && !staysAboveFloor(engine.state().model())) {
                return HoldReason.READY_FLOOR;
            }
            return needsLoad(engine.state(), desired) && !loadRateLimit.tryAcquire(nowNanos)
                    ? HoldReason.LOAD_RATE
                    : null;
        }

        /**
         * Whether another order to this engine may still take effect. Both orders carry the same fencing number, so an
         * engine that is slow to act on the earlier one, or on a repeat of it, would revert to it after the later one
         * took effect. The replica would unexpectedly stop being ready.
         */
        private boolean isEarlierOrderInFlight(SentOrder last, EngineOrder desired) {
            return last != null
                    && !last.order().equals(desired)
                    && nowNanos - last.sentAtNanos() < leadership.leaseNanos();
        }

        /**
         * Whether the state was read after the earlier leader's lease ended. An earlier state may miss the effect of
         * that leader's last orders, and an order sent now could conflict with one of them still in flight.
         */
        private boolean isSettledFor(ObservedEngine engine) {
            return engine.observedNanos() - leadership.settledNanos() >= 0;
        }

        /** Whether the engine now serves a model that an order would take out of service for a while. */
        private boolean isDisruptive(ObservedEngine engine) {
            EngineState state = engine.state();
            return state.ready() && configuration.model(state.model()).isPresent();
        }

        private boolean staysAboveFloor(ModelName model) {
            int floor = configuration.model(model).orElseThrow().minReadyReplicas();
            return readyReplicas.getOrDefault(model, 0) - 1 >= floor;
        }

        private boolean needsLoad(EngineState state, EngineOrder desired) {
            return !state.model().equals(desired.model())
                    || !state.version().equals(desired.version())
                    || !state.adapters().containsAll(desired.adapters());
        }

        private void addOrder(ObservedEngine engine, EngineOrder desired) {
            if (!isAwaitingEffect(engine.id()) && engine.state().ready()) {
                readyReplicas.merge(engine.state().model(), -1, Integer::sum);
            }
            lastOrders.put(engine.id(), new SentOrder(desired, nowNanos, false));
            orders.add(new PlannedOrder(engine.id(), desired, sendDeadlineNanos));
        }
    }
}
