package org.elmline.daemon.entry;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.config.ConfigDelta;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.control.ControlChannels;
import org.elmline.core.control.HostRecord;
import org.elmline.core.control.LeaseAnswer;
import org.elmline.core.control.LeaseRequest;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HostEvent;
import org.elmline.core.timeline.TicketEvent;
import org.jboss.logging.Logger;

/**
 * Renews this entry's lease at a fixed interval, and at once after a configuration change, so that the change is
 * acknowledged early. At most one renewal is in flight.
 */
public final class LeaseRenewer {
    private static final Logger LOG = Logger.getLogger(LeaseRenewer.class);

    private final ControlClient control;
    private final LeasedView leasedView;
    private final MonotonicClock clock;
    private final Supplier<HostRecord> hostRecord;
    private final Duration renewInterval;
    private final AtomicBoolean renewalInFlight = new AtomicBoolean();
    private final Counter renewed;
    private final Counter missed;
    private final EventRing events;
    private final Runnable onReplaced;
    private volatile boolean wasHeld;

    LeaseRenewer(
            ControlClient control,
            LeasedView leasedView,
            MonotonicClock clock,
            Supplier<HostRecord> hostRecord,
            Duration renewInterval,
            MetricRegistry metrics,
            EventRing events,
            Runnable onReplaced) {
        this.control = control;
        this.leasedView = leasedView;
        this.clock = clock;
        this.hostRecord = hostRecord;
        this.renewInterval = renewInterval;
        this.renewed = metrics.counter("entry.lease.renewed");
        this.missed = metrics.counter("entry.lease.missed");
        this.events = events;
        this.onReplaced = onReplaced;
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::renew, 0, renewInterval.toMillis(), TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                this::checkLease, renewInterval.toMillis(), renewInterval.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends a renewal, unless one is in flight. */
    CompletableFuture<Void> renew() {
        if (!renewalInFlight.compareAndSet(false, true)) {
            return CompletableFuture.completedFuture(null);
        }
        long requestedNanos = clock.nanos();
        LeaseRequest request = new LeaseRequest(
                hostRecord.get(),
                leasedView.configuration().version(),
                leasedView.members().version());
        return control.call(ControlChannels.LEASE_RENEW, request, renewInterval, LeaderHint.OF_LEASE)
                .handle((answer, failure) -> {
                    renewalInFlight.set(false);
                    if (failure == null) {
                        onAnswer(requestedNanos, answer);
                    }
                    return null;
                });
    }

    private void onAnswer(long requestedNanos, CallResult<LeaseAnswer> result) {
        if (!(result instanceof CallResult.Answered<LeaseAnswer> answered)) {
            missed.inc();
            return;
        }
        if (answered.value() instanceof LeaseAnswer.Replaced replaced) {
            leasedView.onReplaced();
            LOG.errorf("lease replaced: another process of this host holds it under incarnation %s", replaced.by());
            onReplaced.run();
            return;
        }
        if (answered.value() instanceof LeaseAnswer.Granted granted) {
            renewed.inc();
            control.updateHosts(granted.controlHosts());
            ConfigDelta config = granted.config();
            boolean configChanged =
                    config.to().compareTo(leasedView.configuration().version()) > 0;
            leasedView.onGranted(requestedNanos, granted);
            if (configChanged) {
                recordFollowed(config);
                // The next renewal acknowledges the change; sending it at once saves the operator up to one renewal
                // interval.
                renew();
            }
        }
    }

    /** Records one event per ticket, however many objects it changed. */
    private void recordFollowed(ConfigDelta config) {
        Set<TicketEvent> followed = new LinkedHashSet<>();
        for (VersionedObject each : config.changed()) {
            followed.add(new TicketEvent.Followed(each.ticket(), each.version()));
        }
        followed.forEach(events::record);
    }

    private void checkLease() {
        boolean held = leasedView.mayServe();
        if (held != wasHeld) {
            wasHeld = held;
            HostId host = hostRecord.get().id();
            events.record(held ? new HostEvent.LeaseGranted(host) : new HostEvent.LeaseLost(host));
            LOG.infof(held ? "lease granted" : "lease lost: no new work is admitted until it is renewed");
        }
    }
}
