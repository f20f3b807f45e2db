package org.elmline.daemon.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.Address;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;
import org.elmline.core.route.EntryHostChoice;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.http.JsonResponses;

/** {@code GET /v1/entry-hosts}: the addresses that a caller may use and how many seconds it may cache them. */
public final class EntryHostsHandler implements HttpHandler {
    private static final long RETRY_AFTER_MILLIS = 1000;
    private static final int MAX_ADDRESSES = 4;
    private static final Random RANDOM = new Random();

    private final LeasedView leasedView;
    private final Region region;
    private final int keepSeconds;

    public EntryHostsHandler(LeasedView leasedView, Region region, int keepSeconds) {
        this.leasedView = leasedView;
        this.region = region;
        this.keepSeconds = keepSeconds;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        List<Address> addresses = new ArrayList<>();
        for (HostRecord each : EntryHostChoice.choose(leasedView.members().hosts(), region, MAX_ADDRESSES, RANDOM)) {
            addresses.add(each.callers());
        }
        if (addresses.isEmpty()) {
            JsonResponses.sendRefusal(
                    exchange,
                    Refusal.retryLater(RefusalReason.NO_LEASE, "no entry host is live yet", RETRY_AFTER_MILLIS));
            return;
        }
        JsonResponses.send(exchange, new EntryHosts(addresses, keepSeconds));
    }

    record EntryHosts(List<Address> addresses, int keepSeconds) {}
}
