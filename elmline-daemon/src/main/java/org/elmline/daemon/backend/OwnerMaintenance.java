package org.elmline.daemon.backend;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.ServerChangeDetector;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.StreamInfo;
import org.elmline.core.owner.Owner;
import org.elmline.core.route.AuditRequest;
import org.elmline.core.stream.Cancel;
import org.elmline.core.timeline.EventRing;
import org.jboss.logging.Logger;

/**
 * Runs an owner's periodic tasks: advances waiting requests, repeats cancels until engines acknowledge them, lists what
 * its engines hold to find what failed entries left there, reads cache events, and records changes of its servers.
 */
public final class OwnerMaintenance {
    private static final Logger LOG = Logger.getLogger(OwnerMaintenance.class);
    /** Interval of advancing while a request waits. */
    private static final long ADVANCE_INTERVAL_MILLIS = 20;
    /** Interval of advancing while no request waits: waking fifty times a second when idle took over 1 % of a core. */
    private static final long IDLE_ADVANCE_INTERVAL_MILLIS = 200;

    private static final long CANCEL_INTERVAL_MILLIS = 250;
    private static final long LIST_INTERVAL_MILLIS = 2_000;
    private static final long CACHE_EVENTS_INTERVAL_MILLIS = 500;
    private static final long CHANGES_INTERVAL_MILLIS = 100;

    private final Owner owner;
    private final OwnerService service;
    private final EngineClients engines;
    private final MonotonicClock clock;
    private final AtomicBoolean advanceScheduled = new AtomicBoolean();
    private final EventRing events;
    private final ServerChangeDetector changes = new ServerChangeDetector();

    public OwnerMaintenance(
            Owner owner, OwnerService service, EngineClients engines, MonotonicClock clock, EventRing events) {
        this.owner = owner;
        this.service = service;
        this.engines = engines;
        this.clock = clock;
        this.events = events;
    }

    public void start(ScheduledExecutorService timer) {
        scheduleEvery(timer, IDLE_ADVANCE_INTERVAL_MILLIS, service::advance);
        service.onWaiting(() -> scheduleAdvance(timer));
        scheduleEvery(timer, CANCEL_INTERVAL_MILLIS, this::sendCancels);
        scheduleEvery(timer, LIST_INTERVAL_MILLIS, this::listEngines);
        scheduleEvery(timer, CACHE_EVENTS_INTERVAL_MILLIS, this::readCacheEvents);
        scheduleEvery(timer, CHANGES_INTERVAL_MILLIS, this::recordChanges);
    }

    private void scheduleAdvance(ScheduledExecutorService timer) {
        if (advanceScheduled.compareAndSet(false, true)) {
            timer.schedule(() -> advanceWhileWaiting(timer), ADVANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void advanceWhileWaiting(ScheduledExecutorService timer) {
        runAndLogFailures(service::advance);
        advanceScheduled.set(false);
        if (service.hasWaiting()) {
            scheduleAdvance(timer);
        }
    }

    private static void scheduleEvery(ScheduledExecutorService timer, long millis, Runnable task) {
        timer.scheduleWithFixedDelay(() -> runAndLogFailures(task), millis, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Keeps the task scheduled: the executor ends a periodic task that throws, so one failed run would silently end all
     * later ones.
     */
    private static void runAndLogFailures(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("periodic task of the owner failed; retrying at the next interval", e);
        }
    }

    private void recordChanges() {
        changes.detect(owner.servers()).forEach(events::record);
    }

    private void sendCancels() {
        for (Cancel each : owner.cancels(clock.nanos())) {
            client(each.server()).ifPresent(engine -> send(engine, each));
        }
    }

    private void send(EngineClient engine, Cancel cancel) {
        (cancel.targetsExport() ? engine.freeKv(cancel.exportId()) : engine.cancel(cancel.attempt()))
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<Boolean>) {
                        owner.onCancelAcknowledged(cancel, clock.nanos());
                    }
                });
    }

    private void listEngines() {
        for (Announcement each : owner.engines()) {
            engines.client(each.protocol(), each.address()).ifPresent(engine -> list(each.id(), engine));
        }
    }

    private void list(BackendServerId id, EngineClient engine) {
        engine.streams().thenAcceptBoth(engine.exports(), (streams, exports) -> {
            if (streams instanceof CallResult.Answered<List<StreamInfo>> open
                    && exports instanceof CallResult.Answered<List<KvExport>> held) {
                owner.onEngineListing(id, open.value(), held.value(), clock.nanos())
                        .forEach(this::audit);
            }
        });
    }

    /** Sends an audit to an entry, whose answer names the attempts among them that it doesn't run. */
    private void audit(AuditRequest request) {
        service.audit(request)
                .thenAccept(answer -> answer.ifPresent(known -> owner.onAuditAnswer(request, known, clock.nanos())));
    }

    private void readCacheEvents() {
        for (Announcement each : owner.engines()) {
            engines.client(each.protocol(), each.address())
                    .ifPresent(engine -> engine.cacheEvents(owner.lastCacheSequence(each.id()))
                            .thenAccept(result -> {
                                if (result instanceof CallResult.Answered<CacheEvents> events) {
                                    owner.applyCacheEvents(each.id(), events.value());
                                }
                            }));
        }
    }

    private Optional<EngineClient> client(BackendServerId id) {
        for (Announcement each : owner.engines()) {
            if (each.id().equals(id)) {
                return engines.client(each.protocol(), each.address());
            }
        }
        return Optional.empty();
    }
}
