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

/** Reports to dispatchers, gathered for a moment so that those to one go in one message. Used on the I/O thread only. */
final class ReportQueue {
    /** Time for reports, which nobody waits for. */
    static final Duration TIMEOUT = Duration.ofMillis(800);

    private static final long GATHER_MILLIS = 2;

    private final NodeSettings settings;
    private final PeerNetwork network;
    private final DispatchService own;
    private final XnioExecutor thread;
    private final Map<HostId, Map<ServiceName, List<AttemptReport>>> reports = new HashMap<>();

    ReportQueue(NodeSettings settings, PeerNetwork network, DispatchService own, XnioExecutor thread) {
        this.settings = settings;
        this.network = network;
        this.own = own;
        this.thread = thread;
    }

    void add(ServiceName service, HostId to, AttemptReport report) {
        if (to.equals(settings.host())) {
            own.report(service, List.of(report));
            return;
        }
        if (reports.isEmpty()) {
            thread.executeAfter(this::send, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
        reports.computeIfAbsent(to, host -> new HashMap<>())
                .computeIfAbsent(service, name -> new ArrayList<>())
                .add(report);
    }

    /** Sends at once what is gathered. */
    void send() {
        reports.forEach((host, byService) -> byService.forEach((service, list) ->
                network.call(settings.peersOf(host), DispatchChannels.REPORT, new Reports(service, list), TIMEOUT)));
        reports.clear();
    }
}
