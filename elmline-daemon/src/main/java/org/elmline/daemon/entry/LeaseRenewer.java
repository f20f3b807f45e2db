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

/** Renews this entry's lease at a steady beat, and at once after a change so that it is acknowledged early. */
public final class LeaseRenewer {
    private static final Logger LOG = Logger.getLogger(LeaseRenewer.class);

    private final ControlClient control;
    private final SharedView view;
    private final MonotonicClock clock;
    private final Supplier<HostRecord> self;
    private final Duration beat;
    private final AtomicBoolean asking = new AtomicBoolean();
    private final Counter renewed;
    private final Counter missed;
    private final EventRing events;
    private final Runnable onReplaced;
    private volatile boolean held;

    LeaseRenewer(
            ControlClient control,
            SharedView view,
            MonotonicClock clock,
            Supplier<HostRecord> self,
            Duration beat,
            MetricRegistry metrics,
            EventRing events,
            Runnable onReplaced) {
        this.control = control;
        this.view = view;
        this.clock = clock;
        this.self = self;
        this.beat = beat;
        this.renewed = metrics.counter("entry.lease.renewed");
        this.missed = metrics.counter("entry.lease.missed");
        this.events = events;
        this.onReplaced = onReplaced;
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::renew, 0, beat.toMillis(), TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(this::watch, beat.toMillis(), beat.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Asks now, unless an answer is under way. */
    CompletableFuture<Void> renew() {
        if (!asking.compareAndSet(false, true)) {
            return CompletableFuture.completedFuture(null);
        }
        long asked = clock.nanos();
        LeaseRequest request = new LeaseRequest(
                self.get(), view.configuration().version(), view.members().version());
        return control.call(ControlChannels.LEASE_RENEW, request, beat, LeaderHint.OF_LEASE)
                .handle((answer, failure) -> {
                    asking.set(false);
                    if (failure == null) {
                        take(asked, answer);
                    }
                    return null;
                });
    }

    private void take(long asked, CallResult<LeaseAnswer> result) {
        if (!(result instanceof CallResult.Answered<LeaseAnswer> answered)) {
            missed.inc();
            return;
        }
        if (answered.value() instanceof LeaseAnswer.Replaced replaced) {
            view.replaced();
            LOG.errorf("another process of this host holds the lease under incarnation %s", replaced.by());
            onReplaced.run();
            return;
        }
        if (answered.value() instanceof LeaseAnswer.Granted granted) {
            renewed.inc();
            control.learn(granted.controlHosts());
            ConfigDelta config = granted.config();
            boolean news = config.to().compareTo(view.configuration().version()) > 0;
            view.granted(asked, granted);
            if (news) {
                recordFollowed(config);
                // The next renewal acknowledges the change; asking now spares the operator the rest of the beat.
                renew();
            }
        }
    }

    /** One event for each ticket, however many objects it changed. */
    private void recordFollowed(ConfigDelta config) {
        Set<TicketEvent> followed = new LinkedHashSet<>();
        for (VersionedObject each : config.changed()) {
            followed.add(new TicketEvent.Followed(each.ticket(), each.version()));
        }
        followed.forEach(events::record);
    }

    private void watch() {
        boolean now = view.mayServe();
        if (now != held) {
            held = now;
            HostId host = self.get().id();
            events.record(now ? new HostEvent.LeaseGranted(host) : new HostEvent.LeaseLost(host));
            LOG.infof(now ? "lease held" : "lease lost: nothing new is admitted until it is held again");
        }
    }
}
