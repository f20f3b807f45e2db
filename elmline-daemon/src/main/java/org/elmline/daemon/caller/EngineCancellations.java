package org.elmline.daemon.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.route.Grant;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.stream.Cancel;
import org.elmline.core.stream.CancelQueue;
import org.elmline.daemon.backend.EngineClients;
import org.jboss.logging.Logger;

/**
 * Cancels attempts on engines. A cancel that is lost would leave the engine's memory allocated, so each is repeated
 * until the engine acknowledges it or no owner lists the engine any more; only then is the grant released. Thread-safe.
 */
public final class EngineCancellations {
    private static final Logger LOG = Logger.getLogger(EngineCancellations.class);
    private static final long SEND_INTERVAL_MILLIS = 250;
    private static final long UNOWNED_ENGINE_TIMEOUT_MILLIS = 15_000;

    private final EngineClients engines;
    private final OwnerTable owners;
    private final GrantTracker grants;
    private final MonotonicClock clock;
    private final CancelQueue queue = new CancelQueue();
    private final Map<Cancel, PendingCancel> pending = new HashMap<>();

    private record PendingCancel(Grant grant, long requestedAtMillis, Consumer<Cancel> onFreed) {}

    public EngineCancellations(
            EngineClients engines,
            OwnerTable owners,
            GrantTracker grants,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.engines = engines;
        this.owners = owners;
        this.grants = grants;
        this.clock = clock;
        metrics.gauge("gateway.cancels.open", () -> this::size);
    }

    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(
                this::sendAndLogFailures, SEND_INTERVAL_MILLIS, SEND_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Cancels an attempt on its engine and releases its grant once that is acknowledged. */
    void cancel(Grant grant) {
        Cancel cancel = Cancel.stream(grant.server(), grant.attempt());
        free(cancel, grant, freed -> grants.release(freed.attempt(), ReleaseCause.CANCELLED));
    }

    /**
     * Frees what the engine of the grant may hold; calls {@code onFreed} once it holds nothing for the cancelled
     * target.
     */
    void free(Cancel cancel, Grant grant, Consumer<Cancel> onFreed) {
        synchronized (this) {
            pending.putIfAbsent(cancel, new PendingCancel(grant, clock.millis(), onFreed));
            queue.add(cancel, clock.nanos());
        }
        sendAndLogFailures();
    }

    public synchronized int size() {
        return pending.size();
    }

    private void sendAndLogFailures() {
        try {
            send();
        } catch (RuntimeException e) {
            LOG.error("sending cancels to engines failed; retrying at the next interval", e);
        }
    }

    private void send() {
        List<Cancel> due;
        synchronized (this) {
            due = queue.due(clock.nanos());
        }
        for (Cancel each : due) {
            PendingCancel pendingCancel;
            synchronized (this) {
                pendingCancel = pending.get(each);
            }
            if (pendingCancel != null) {
                send(each, pendingCancel);
            }
        }
    }

    private void send(Cancel cancel, PendingCancel pendingCancel) {
        Grant grant = pendingCancel.grant();
        boolean timedOut = clock.millis() - pendingCancel.requestedAtMillis() > UNOWNED_ENGINE_TIMEOUT_MILLIS;
        if (timedOut && owners.ownerOf(grant.server()).isEmpty()) {
            // Every owner has removed the engine: it is gone, and its memory with it.
            complete(cancel);
            return;
        }
        Optional<EngineClient> engine = engines.client(grant.protocol(), grant.engine());
        engine.ifPresent(client -> release(client, cancel).thenAccept(result -> {
            if (result instanceof CallResult.Answered<Boolean>) {
                complete(cancel);
            }
        }));
    }

    private static CompletableFuture<CallResult<Boolean>> release(EngineClient engine, Cancel cancel) {
        return cancel.targetsExport() ? engine.freeKv(cancel.exportId()) : engine.cancel(cancel.attempt());
    }

    private void complete(Cancel cancel) {
        PendingCancel pendingCancel;
        synchronized (this) {
            queue.acknowledge(cancel);
            pendingCancel = pending.remove(cancel);
        }
        if (pendingCancel != null) {
            pendingCancel.onFreed().accept(cancel);
        }
    }
}
