package org.elmline.daemon.backend;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.HostRecord;
import org.elmline.core.owner.Owner;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.RouteChannels;
import org.elmline.core.route.SummarySchedule;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.wire.codec.Codecs;
import org.jboss.logging.Logger;

/** Sends this owner's summary to the entries for which {@link SummarySchedule} makes it due. */
public final class SummarySender {
    private static final Logger LOG = Logger.getLogger(SummarySender.class);
    private static final long CHECK_INTERVAL_MILLIS = 200;
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(1);

    private final Owner owner;
    private final OwnerTable owners;
    private final SummarySchedule schedule;
    private final LeasedView leasedView;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final Counter sent;
    private final Counter bytesSent;

    public SummarySender(
            Owner owner,
            OwnerTable owners,
            SummarySchedule schedule,
            LeasedView leasedView,
            PeerNetwork network,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.owner = owner;
        this.owners = owners;
        this.schedule = schedule;
        this.leasedView = leasedView;
        this.network = network;
        this.clock = clock;
        this.sent = metrics.counter("owner.summaries.sent");
        this.bytesSent = metrics.counter("owner.summaries.bytes");
    }

    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::sendDue, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendDue() {
        try {
            long now = clock.nanos();
            OwnerSummary summary = owner.summary(now);
            owners.accept(summary, now);
            int bytes = Codecs.MESSAGE_PACK.encode(summary).length;
            List<HostRecord> members = leasedView.members().hosts();
            for (HostRecord each : schedule.targets(summary, bytes, members, now)) {
                sent.inc();
                bytesSent.inc(bytes);
                network.call(each.peers(), RouteChannels.SUMMARY, summary, SEND_TIMEOUT);
            }
        } catch (RuntimeException e) {
            LOG.error("sending the owner summary failed; retrying at the next interval", e);
        }
    }
}
