package org.elmline.daemon.backend;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.HostRecord;
import org.elmline.core.owner.Owner;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.RouteChannels;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.SharedView;
import org.jboss.logging.Logger;

/**
 * Tells other entries what this owner has: at a slow beat, and early when something changed that would change their
 * choice. Entries of other regions hear the slow beat only, which bounds what one node hears by its region's size.
 */
public final class SummarySender {
    private static final Logger LOG = Logger.getLogger(SummarySender.class);
    private static final long CHECK_MILLIS = 200;
    private static final long BEAT_MILLIS = 5_000;
    private static final int WAIT_STEP_MILLIS = 100;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final HostIdentity self;
    private final Owner owner;
    private final SummaryTable summaries;
    private final SharedView view;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final Counter sent;
    private OwnerSummary last;
    private long lastBeatMillis;
    private long lastMembersVersion = -1;

    public SummarySender(
            HostIdentity self,
            Owner owner,
            SummaryTable summaries,
            SharedView view,
            PeerNetwork network,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.self = self;
        this.owner = owner;
        this.summaries = summaries;
        this.view = view;
        this.network = network;
        this.clock = clock;
        this.sent = metrics.counter("owner.summaries.sent");
    }

    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        try {
            OwnerSummary current = owner.summary(clock.nanos());
            summaries.receive(current);
            long membersVersion = view.members().version();
            boolean beat = clock.millis() - lastBeatMillis >= BEAT_MILLIS;
            if (beat || membersVersion != lastMembersVersion || changed(current)) {
                lastBeatMillis = beat ? clock.millis() : lastBeatMillis;
                lastMembersVersion = membersVersion;
                last = current;
                send(current, beat);
            }
        } catch (RuntimeException e) {
            LOG.error("sending the summary failed; it is tried again", e);
        }
    }

    private void send(OwnerSummary summary, boolean everywhere) {
        for (HostRecord each : view.members().hosts()) {
            boolean other = !each.id().equals(self.host());
            if (other && (everywhere || each.region().equals(self.region()))) {
                sent.inc();
                network.call(each.peers(), RouteChannels.SUMMARY, summary, TIMEOUT);
            }
        }
    }

    private boolean changed(OwnerSummary current) {
        if (last == null
                || !last.servers().equals(current.servers())
                || !last.services().equals(current.services())
                || last.models().size() != current.models().size()) {
            return true;
        }
        for (int i = 0; i < current.models().size(); i++) {
            if (changed(last.models().get(i), current.models().get(i))) {
                return true;
            }
        }
        return false;
    }

    /** A wait that moved by less than one step would hardly change a choice. */
    private static boolean changed(ModelSummary before, ModelSummary now) {
        if (!before.model().equals(now.model()) || before.readyReplicas() != now.readyReplicas()) {
            return true;
        }
        for (int i = 0; i < now.waitMillis().size(); i++) {
            int step = Math.abs(now.waitMillis().get(i) - before.waitMillis().get(i));
            if (step > Math.max(WAIT_STEP_MILLIS, before.waitMillis().get(i) / 2)) {
                return true;
            }
        }
        return false;
    }
}
