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
 * Orders engines while this control host leads: asks each entry what its engines serve, plans, sends inside its own
 * lease, and asks again until the wanted state shows. Runs on one timer thread at a time.
 */
final class OrderService {
    private static final Logger LOG = Logger.getLogger(OrderService.class);
    private static final long ROUND_MILLIS = 1_000;
    private static final Duration OBSERVE_TIMEOUT = Duration.ofSeconds(4);
    /** Parts of a leader's lease: an order must be over well inside it, and it is held back where less than this is left. */
    private static final int LEASE_PARTS = 4;

    private final LeaderWatch watch;
    private final CommandLog log;
    private final ControlMachine machine;
    private final PeerNetwork network;
    private final EngineClients engines;
    private final MonotonicClock clock;
    private final Duration leaderLease;
    private final Counter sent;
    private final Counter stale;
    private final Map<BackendServerId, Observed> observed = new HashMap<>();
    private final AtomicReference<List<OrderPlan.Held>> held = new AtomicReference<>(List.of());
    private FencingNumber fencing;
    private OrderPlanner planner;

    /** One engine's last report, with the leader's clock when it asked. */
    private record Observed(EngineObservation engine, long askedNanos) {}

    /** @param leaderLease whole length of a leader's lease */
    OrderService(
            LeaderWatch watch,
            CommandLog log,
            ControlMachine machine,
            PeerNetwork network,
            EngineClients engines,
            MonotonicClock clock,
            Duration leaderLease,
            MetricRegistry metrics) {
        this.watch = watch;
        this.log = log;
        this.machine = machine;
        this.network = network;
        this.engines = engines;
        this.clock = clock;
        this.leaderLease = leaderLease;
        this.sent = metrics.counter("control.orders.sent");
        this.stale = metrics.counter("control.orders.stale");
        for (HoldReason reason : HoldReason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
            metrics.gauge("control.orders.held." + name, () -> () -> held(reason));
        }
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::guardedRound, ROUND_MILLIS, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void guardedRound() {
        try {
            round();
        } catch (RuntimeException e) {
            LOG.error("a round of engine orders failed; it is tried again", e);
        }
    }

    private void round() {
        Optional<FencingNumber> current = watch.fencing();
        Configuration configuration = machine.read(state -> state.configuration());
        if (current.isEmpty() || !hasRoles(configuration)) {
            return;
        }
        synchronized (this) {
            if (!current.get().equals(fencing)) {
                fencing = current.get();
                planner = new OrderPlanner(settings(), new Leadership(fencing, clock.nanos(), leaderLease.toNanos()));
                observed.clear();
            }
        }
        observe(current.get());
        OrderPlan plan = plan(configuration);
        held.set(plan.held());
        plan.orders().forEach(this::send);
    }

    private OrderSettings settings() {
        OrderSettings standard = OrderSettings.DEFAULT;
        return new OrderSettings(
                Math.max(1, leaderLease.toMillis() / LEASE_PARTS),
                standard.repeatMillis(),
                standard.freshMillis(),
                standard.loadsPerMinute(),
                standard.loadBurst());
    }

    private long held(HoldReason reason) {
        return held.get().stream().filter(each -> each.reason() == reason).count();
    }

    private static boolean hasRoles(Configuration configuration) {
        return configuration.objects().stream().anyMatch(each -> each.object() instanceof BackendRole);
    }

    private void observe(FencingNumber number) {
        List<Member> members = machine.read(state -> List.copyOf(state.members()));
        for (Member each : members) {
            long asked = clock.nanos();
            network.call(each.host().peers(), OrderChannels.OBSERVE, new ObserveRequest(number), OBSERVE_TIMEOUT)
                    .thenAccept(result -> {
                        if (result instanceof CallResult.Answered<ObserveAnswer> answered) {
                            take(answered.value(), asked);
                        }
                    });
        }
    }

    private synchronized void take(ObserveAnswer answer, long askedNanos) {
        for (EngineObservation each : answer.engines()) {
            observed.merge(
                    each.id(),
                    new Observed(each, askedNanos),
                    (a, b) -> b.askedNanos() - a.askedNanos() >= 0 && b.engine().state() != null ? b : a);
        }
    }

    private synchronized OrderPlan plan(Configuration configuration) {
        List<ObservedEngine> seen = new ArrayList<>();
        for (Observed each : observed.values()) {
            EngineObservation engine = each.engine();
            seen.add(new ObservedEngine(
                    engine.id(), engine.checksFencing(), engine.leaving(), engine.state(), each.askedNanos()));
        }
        return planner.plan(configuration, seen, clock.nanos(), log.standing().leaseUntilNanos());
    }

    private void send(PlannedOrder order) {
        Observed target;
        OrderPlanner by;
        synchronized (this) {
            target = observed.get(order.server());
            by = planner;
        }
        Optional<EngineClient> client =
                engines.client(target.engine().protocol(), target.engine().address());
        // Read right before sending: a leader frozen since planning must not send what it planned.
        long limit = order.timeLimitMillis(clock.nanos());
        if (client.isEmpty() || limit <= 0) {
            return;
        }
        sent.inc();
        client.get().order(order.order(), Duration.ofMillis(limit)).thenAccept(result -> {
            if (result instanceof CallResult.Answered<OrderAnswer> answered) {
                answered(by, order, answered.value());
            }
        });
    }

    private synchronized void answered(OrderPlanner by, PlannedOrder order, OrderAnswer answer) {
        if (answer == OrderAnswer.STALE_FENCING_NUMBER) {
            stale.inc();
        }
        by.answered(order.server(), order.order(), answer);
    }
}
