package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.dispatch.DispatchChannels.Reports;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.daemon.node.NodeSettings;
import org.xnio.XnioExecutor;

/**
 * Batches reports to dispatchers: those of {@value #BATCH_DELAY_MILLIS} ms for one dispatcher and service go in one
 * message. Used on the I/O thread only.
 */
final class ReportQueue {
    /** Time-out of messages that no call waits for, such as reports. */
    static final Duration SEND_TIMEOUT = Duration.ofMillis(800);

    private static final long BATCH_DELAY_MILLIS = 2;

    private final NodeSettings settings;
    private final PeerNetwork network;
    private final DispatchService localDispatch;
    private final XnioExecutor thread;
    private final Map<HostId, Map<ServiceName, List<AttemptReport>>> pendingReports = new HashMap<>();

    ReportQueue(NodeSettings settings, PeerNetwork network, DispatchService localDispatch, XnioExecutor thread) {
        this.settings = settings;
        this.network = network;
        this.localDispatch = localDispatch;
        this.thread = thread;
    }

    void add(ServiceName service, HostId dispatcher, AttemptReport report) {
        if (dispatcher.equals(settings.host())) {
            localDispatch.report(service, List.of(report));
            return;
        }
        if (pendingReports.isEmpty()) {
            thread.executeAfter(this::flush, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
        pendingReports
                .computeIfAbsent(dispatcher, each -> new HashMap<>())
                .computeIfAbsent(service, name -> new ArrayList<>())
                .add(report);
    }

    /** Sends the queued reports at once. */
    void flush() {
        pendingReports.forEach((dispatcher, byService) -> byService.forEach((service, reports) -> network.call(
                settings.peerAddressOf(dispatcher),
                DispatchChannels.REPORT,
                new Reports(service, reports),
                SEND_TIMEOUT)));
        pendingReports.clear();
    }
}
