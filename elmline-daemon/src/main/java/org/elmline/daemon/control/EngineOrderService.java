package org.elmline.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.config.BackendRole;
import org.elmline.core.config.Configuration;
import org.elmline.core.control.EngineObservation;
import org.elmline.core.control.HoldReason;
import org.elmline.core.control.Leadership;
import org.elmline.core.control.Member;
import org.elmline.core.control.ObserveAnswer;
import org.elmline.core.control.ObserveRequest;
import org.elmline.core.control.ObservedEngine;
import org.elmline.core.control.OrderChannels;
import org.elmline.core.control.OrderPlan;
import org.elmline.core.control.OrderPlanner;
import org.elmline.core.control.OrderSettings;
import org.elmline.core.control.PlannedOrder;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.OrderAnswer;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.daemon.backend.EngineClients;
import org.jboss.logging.Logger;

/**
 * Sends orders to engines while this control host leads. Each round requests the engines' states from every entry,
 * plans, and sends orders within the leader's lease, until the observed states match the configured ones. Rounds run on
 * one timer thread at a time; answers arrive on network threads and are handled under this object's lock.
 */
final class EngineOrderService {
    private static final Logger LOG = Logger.getLogger(EngineOrderService.class);
    private static final long ROUND_INTERVAL_MILLIS = 1_000;
    private static final Duration OBSERVE_TIMEOUT = Duration.ofSeconds(4);
    /**
     * The time limit of an order is the leader's lease divided by this, so that it ends well within the lease; an order
     * is held back when less than that is left of the lease.
     */
    private static final int ORDER_TIMEOUT_LEASE_DIVISOR = 4;

    private final LeadershipMonitor leadership;
    private final CommandLog log;
    private final ControlStateMachine machine;
    private final PeerNetwork network;
    private final EngineClients engines;
    private final MonotonicClock clock;
    private final Duration leaderLease;
    private final Counter sentOrders;
    private final Counter staleOrders;
    private final Map<BackendServerId, TimedObservation> observations = new HashMap<>();
    private final AtomicReference<List<OrderPlan.Held>> heldOrders = new AtomicReference<>(List.of());
    private FencingNumber plannedFencing;
    private OrderPlanner planner;

    /** One engine's last report, and the leader's clock in nanoseconds when it requested the report. */
    private record TimedObservation(EngineObservation engine, long requestedNanos) {}

    /** @param leaderLease full duration of a leader's lease */
    EngineOrderService(
            LeadershipMonitor leadership,
            CommandLog log,
            ControlStateMachine machine,
            PeerNetwork network,
            EngineClients engines,
            MonotonicClock clock,
            Duration leaderLease,
            MetricRegistry metrics) {
        this.leadership = leadership;
        this.log = log;
        this.machine = machine;
        this.network = network;
        this.engines = engines;
        this.clock = clock;
        this.leaderLease = leaderLease;
        this.sentOrders = metrics.counter("control.orders.sent");
        this.staleOrders = metrics.counter("control.orders.stale");
        for (HoldReason reason : HoldReason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
            metrics.gauge("control.orders.held." + name, () -> () -> heldOrders(reason));
        }
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(
                this::runRoundSafely, ROUND_INTERVAL_MILLIS, ROUND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void runRoundSafely() {
        try {
            runRound();
        } catch (RuntimeException e) {
            LOG.error("a round of engine orders failed; the next round retries", e);
        }
    }

    private void runRound() {
        Optional<FencingNumber> current = leadership.fencingNumber();
        Configuration configuration = machine.read(state -> state.configuration());
        if (current.isEmpty() || !hasBackendRoles(configuration)) {
            return;
        }
        synchronized (this) {
            if (!current.get().equals(plannedFencing)) {
                plannedFencing = current.get();
                planner = new OrderPlanner(
                        orderSettings(), new Leadership(plannedFencing, clock.nanos(), leaderLease.toNanos()));
                observations.clear();
            }
        }
        requestObservations(current.get());
        OrderPlan plan = planOrders(configuration);
        heldOrders.set(plan.held());
        plan.orders().forEach(this::sendOrder);
    }

    private OrderSettings orderSettings() {
        OrderSettings defaults = OrderSettings.DEFAULT;
        return new OrderSettings(
                Math.max(1, leaderLease.toMillis() / ORDER_TIMEOUT_LEASE_DIVISOR),
                defaults.repeatMillis(),
                defaults.maxStateAgeMillis(),
                defaults.loadsPerMinute(),
                defaults.loadBurst());
    }

    private long heldOrders(HoldReason reason) {
        return heldOrders.get().stream().filter(each -> each.reason() == reason).count();
    }

    private static boolean hasBackendRoles(Configuration configuration) {
        return configuration.objects().stream().anyMatch(each -> each.object() instanceof BackendRole);
    }

    private void requestObservations(FencingNumber fencingNumber) {
        List<Member> members = machine.read(state -> List.copyOf(state.members()));
        for (Member each : members) {
            long requestedNanos = clock.nanos();
            network.call(each.host().peers(), OrderChannels.OBSERVE, new ObserveRequest(fencingNumber), OBSERVE_TIMEOUT)
                    .thenAccept(result -> {
                        if (result instanceof CallResult.Answered<ObserveAnswer> answered) {
                            recordObservations(answered.value(), requestedNanos);
                        }
                    });
        }
    }

    private synchronized void recordObservations(ObserveAnswer answer, long requestedNanos) {
        for (EngineObservation each : answer.engines()) {
            observations.merge(
                    each.id(),
                    new TimedObservation(each, requestedNanos),
                    (previous, latest) -> latest.requestedNanos() - previous.requestedNanos() >= 0
                                    && latest.engine().state() != null
                            ? latest
                            : previous);
        }
    }

    private synchronized OrderPlan planOrders(Configuration configuration) {
        List<ObservedEngine> observed = new ArrayList<>();
        for (TimedObservation each : observations.values()) {
            EngineObservation engine = each.engine();
            observed.add(new ObservedEngine(
                    engine.id(), engine.checksFencing(), engine.leaving(), engine.state(), each.requestedNanos()));
        }
        return planner.plan(
                configuration, observed, clock.nanos(), log.leadershipStatus().leaseUntilNanos());
    }

    private void sendOrder(PlannedOrder order) {
        TimedObservation target;
        OrderPlanner currentPlanner;
        synchronized (this) {
            target = observations.get(order.server());
            currentPlanner = planner;
        }
        Optional<EngineClient> client =
                engines.client(target.engine().protocol(), target.engine().address());
        // The clock is read right before sending: a leader paused since planning must not send orders whose time limit
        // has passed.
        long limit = order.timeLimitMillis(clock.nanos());
        if (client.isEmpty() || limit <= 0) {
            return;
        }
        sentOrders.inc();
        client.get().order(order.order(), Duration.ofMillis(limit)).thenAccept(result -> {
            if (result instanceof CallResult.Answered<OrderAnswer> answered) {
                onAnswer(currentPlanner, order, answered.value());
            }
        });
    }

    private synchronized void onAnswer(OrderPlanner usedPlanner, PlannedOrder order, OrderAnswer answer) {
        if (answer == OrderAnswer.STALE_FENCING_NUMBER) {
            staleOrders.inc();
        }
        usedPlanner.onAnswer(order.server(), order.order(), answer);
    }
}
