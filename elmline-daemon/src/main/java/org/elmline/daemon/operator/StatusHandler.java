package org.elmline.daemon.operator;

import java.util.List;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.control.HostRecord;
import org.elmline.daemon.caller.AdmissionController;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.http.JsonResponses;

/** {@code GET /v1/status}: this host's state, and the entry hosts among its members. */
public final class StatusHandler implements HttpHandler {
    private final HostIdentity self;
    private final LeasedView leasedView;
    private final AdmissionController admission;

    public StatusHandler(HostIdentity self, LeasedView leasedView, AdmissionController admission) {
        this.self = self;
        this.leasedView = leasedView;
        this.admission = admission;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        JsonResponses.send(
                exchange,
                new Status(
                        self,
                        leasedView.mayServe(),
                        leasedView.configuration().version(),
                        admission.inFlight(),
                        leasedView.members().hosts()));
    }

    record Status(
            HostIdentity host,
            boolean leaseHeld,
            ConfigVersion configVersion,
            int requestsOpen,
            List<HostRecord> entryHosts) {}
}
