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
 * Decides a leader's orders to engines: one planner for each leadership. An order states the whole wanted state and is
 * repeated until it shows in the state read back from the engine, so that a lost order, a lost answer and an engine
 * that restarted need no cases of their own. Not safe for concurrent use.
 */
public final class OrderPlanner {
    /** An order gets up to half of what remains of the lease, and isn't sent for less than this part of its timeout. */
    private static final int LEAST_PART_OF_TIMEOUT = 10;

    private final OrderSettings settings;
    private final Leadership leadership;
    private final TokenBucket loads;
    private final Map<BackendServerId, Sent> sent = new HashMap<>();
    private final Map<BackendServerId, EngineOrder> rejected = new HashMap<>();
    private boolean deposed;

    /** The last order to an engine; {@code shown} once its state was read back with it. */
    private record Sent(EngineOrder order, long atNanos, boolean shown) {}

    public OrderPlanner(OrderSettings settings, Leadership leadership) {
        this.settings = settings;
        this.leadership = leadership;
        this.loads = new TokenBucket(settings.loadsPerMinute(), settings.loadBurst(), leadership.startedNanos());
    }

    /**
     * The orders to send now.
     *
     * @param engines all announced engines; one that is left out is treated as gone
     * @param leaderUntilNanos end of the leader's own lease
     */
    public OrderPlan plan(
            Configuration configuration, Collection<ObservedEngine> engines, long nowNanos, long leaderUntilNanos) {
        Map<BackendServerId, ObservedEngine> byId = new TreeMap<>();
        engines.forEach(e -> byId.put(e.id(), e));
        sent.keySet().retainAll(byId.keySet());
        rejected.keySet().retainAll(byId.keySet());
        byId.values().forEach(this::markShown);
        Round round = new Round(configuration, nowNanos, leaderUntilNanos, readyReplicas(byId.values(), nowNanos));
        for (ObservedEngine each : byId.values()) {
            round.consider(each);
        }
        return new OrderPlan(round.orders, round.held);
    }

    /** Takes an engine's answer to an order. */
    public void answered(BackendServerId server, EngineOrder order, OrderAnswer answer) {
        if (answer == OrderAnswer.STALE_FENCING_NUMBER) {
            deposed = true;
        }
        if (answer == OrderAnswer.INVALID) {
            rejected.put(server, order);
            sent.remove(server);
        }
    }

    private void markShown(ObservedEngine engine) {
        Sent last = sent.get(engine.id());
        boolean readSince = last != null && engine.state() != null && engine.readNanos() - last.atNanos() > 0;
        if (readSince && shows(engine.state(), last.order())) {
            sent.put(engine.id(), new Sent(last.order(), last.atNanos(), true));
        }
    }

    private boolean isAwaited(BackendServerId server) {
        Sent last = sent.get(server);
        return last != null && !last.shown();
    }

    /**
     * Ready replicas of each model that will stay so. An engine with an order on its way doesn't count, although it
     * still says ready: it stops being so the moment the order arrives.
     */
    private Map<ModelName, Integer> readyReplicas(Collection<ObservedEngine> engines, long nowNanos) {
        Map<ModelName, Integer> ready = new HashMap<>();
        for (ObservedEngine each : engines) {
            boolean counts = isFresh(each, nowNanos) && !each.leaving() && !isAwaited(each.id());
            if (counts && each.state().ready()) {
                ready.merge(each.state().model(), 1, Integer::sum);
            }
        }
        return ready;
    }

    private boolean isFresh(ObservedEngine engine, long nowNanos) {
        return engine.state() != null && nowNanos - engine.readNanos() < settings.freshNanos();
    }

    private static boolean shows(EngineState state, EngineOrder order) {
        return state.model().equals(order.model())
                && state.version().equals(order.version())
                && new HashSet<>(state.adapters()).equals(new HashSet<>(order.adapters()))
                && Objects.equals(state.role(), order.role());
    }

    /** One pass over the engines; what is ordered early in it counts for the floor and the rate of the later ones. */
    private final class Round {
        private final Configuration configuration;
        private final long nowNanos;
        private final long untilNanos;
        private final boolean leaseLasts;
        private final Map<ModelName, Integer> ready;
        private final List<PlannedOrder> orders = new ArrayList<>();
        private final List<OrderPlan.Held> held = new ArrayList<>();

        private Round(
                Configuration configuration, long nowNanos, long leaderUntilNanos, Map<ModelName, Integer> ready) {
            this.configuration = configuration;
            this.nowNanos = nowNanos;
            long limit = Math.min(settings.timeoutNanos(), (leaderUntilNanos - nowNanos) / 2);
            this.untilNanos = nowNanos + limit;
            this.leaseLasts = limit >= settings.timeoutNanos() / LEAST_PART_OF_TIMEOUT;
            this.ready = ready;
        }

        private void consider(ObservedEngine engine) {
            VersionedObject found =
                    configuration.object("backend-role/" + engine.id()).orElse(null);
            if (found == null || engine.leaving()) {
                return;
            }
            BackendRole role = (BackendRole) found.object();
            if (!isFresh(engine, nowNanos)) {
                hold(engine, HoldReason.NOT_OBSERVED);
                return;
            }
            EngineOrder wanted = new EngineOrder(
                    leadership.fencing(),
                    role.model(),
                    role.version(),
                    role.adapters(),
                    role.role().isEmpty() ? engine.state().role() : role.role());
            if (shows(engine.state(), wanted) && !isAwaited(engine.id())) {
                return;
            }
            HoldReason reason = holdReason(engine, role, wanted);
            if (reason != null) {
                hold(engine, reason);
                return;
            }
            send(engine, wanted);
        }

        private void hold(ObservedEngine engine, HoldReason reason) {
            held.add(new OrderPlan.Held(engine.id(), reason));
        }

        private HoldReason holdReason(ObservedEngine engine, BackendRole role, EngineOrder wanted) {
            if (deposed || !leaseLasts) {
                return HoldReason.LEADER_LEASE;
            }
            if (configuration.model(role.model()).isEmpty()) {
                return HoldReason.MODEL_REMOVED;
            }
            if (wanted.equals(rejected.get(engine.id()))) {
                return HoldReason.REJECTED;
            }
            boolean checksFencing = engine.checksFencing() && role.checksFencing();
            if (!settledFor(engine) && (!checksFencing || isDisruptive(engine))) {
                return HoldReason.LEADER_SETTLING;
            }
            Sent last = sent.get(engine.id());
            if (isEarlierOnItsWay(last, wanted)) {
                return HoldReason.EARLIER_ORDER;
            }
            boolean awaited = isAwaited(engine.id());
            if (awaited && last.order().equals(wanted)) {
                return nowNanos - last.atNanos() < settings.repeatNanos() ? HoldReason.AWAITING_EFFECT : null;
            }
            if (!awaited && isDisruptive(engine) && !aboveFloor(engine.state().model())) {
                return HoldReason.READY_FLOOR;
            }
            return needsLoad(engine.state(), wanted) && !loads.take(nowNanos) ? HoldReason.LOAD_RATE : null;
        }

        /**
         * An engine that is slow to act on an order, or on a repeat of one, would go back to it after the next one was
         * in effect: both carry the same fencing number. The replica would stop being ready with nobody expecting it.
         */
        private boolean isEarlierOnItsWay(Sent last, EngineOrder wanted) {
            return last != null && !last.order().equals(wanted) && nowNanos - last.atNanos() < leadership.leaseNanos();
        }

        /**
         * A state read before the earlier leader's lease was over may miss the effect of its last orders, and an order
         * of ours could meet one of its own on the way.
         */
        private boolean settledFor(ObservedEngine engine) {
            return engine.readNanos() - leadership.settledNanos() >= 0;
        }

        /** Whether the engine serves a model now that an order takes out of service for a while. */
        private boolean isDisruptive(ObservedEngine engine) {
            EngineState state = engine.state();
            return state.ready() && configuration.model(state.model()).isPresent();
        }

        private boolean aboveFloor(ModelName model) {
            int floor = configuration.model(model).orElseThrow().minReadyReplicas();
            return ready.getOrDefault(model, 0) - 1 >= floor;
        }

        private boolean needsLoad(EngineState state, EngineOrder wanted) {
            return !state.model().equals(wanted.model())
                    || !state.version().equals(wanted.version())
                    || !state.adapters().containsAll(wanted.adapters());
        }

        private void send(ObservedEngine engine, EngineOrder wanted) {
            if (!isAwaited(engine.id()) && engine.state().ready()) {
                ready.merge(engine.state().model(), -1, Integer::sum);
            }
            sent.put(engine.id(), new Sent(wanted, nowNanos, false));
            orders.add(new PlannedOrder(engine.id(), wanted, untilNanos));
        }
    }
}
