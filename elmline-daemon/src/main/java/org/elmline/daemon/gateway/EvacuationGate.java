package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;

/**
 * Whether new work may be sent to a server by the evacuations that this entry holds, and whether the entry may act on
 * them at all. Used on the I/O thread only.
 */
final class EvacuationGate {
    /**
     * Time for which a dispatcher is told that a server it granted is evacuated. It has the evacuation itself by then,
     * or offers the server once more.
     */
    private static final long OFFER_RETENTION_NANOS = Duration.ofSeconds(2).toNanos();

    private final EvacuationView evacuations;
    private final BooleanSupplier isTableOutdated;
    private final SuspensionGuard suspension;
    private final MonotonicClock clock;
    private final Counter withheld;
    private final Map<BackendServerId, Offer> offers = new HashMap<>();

    /** A grant of a server that is sent nothing. */
    private record Offer(ServiceName service, long atNanos) {}

    /**
     * @param isTableOutdated whether callers must not be served by the routing table: an entry that lost contact with
     *     the control hosts' leader in this way may lack evacuations as well
     * @param suspension null where evacuations are not followed
     */
    EvacuationGate(
            EvacuationView evacuations,
            BooleanSupplier isTableOutdated,
            SuspensionGuard suspension,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.evacuations = evacuations;
        this.isTableOutdated = isTableOutdated;
        this.suspension = suspension;
        this.clock = clock;
        this.withheld = evacuations.isFollowed() ? metrics.counter("evacuation.requests.withheld") : new Counter();
    }

    /** Creates the gate of an entry that follows no evacuations; everything passes. */
    static EvacuationGate notFollowed(EvacuationView evacuations, MonotonicClock clock, MetricRegistry metrics) {
        return new EvacuationGate(evacuations, () -> false, null, clock, metrics);
    }

    /** Whether a server is outside evacuated failure domains; {@code server} is null for an unknown one. */
    boolean allows(Registration server) {
        return evacuations.allows(server);
    }

    /** Whether new work may be sent to a server now; counts it if not. */
    boolean tryBegin(Registration server) {
        boolean passes = evacuations.allows(server) && !(evacuations.isFollowed() && isTableOutdated.getAsBoolean());
        withheld.inc(passes ? 0 : 1);
        return passes;
    }

    /** Whether new work must wait because this entry has just resumed. */
    boolean isHeld() {
        return suspension != null && suspension.isHeld();
    }

    /** Runs a command once new work need not wait any more. */
    void whenReleased(Runnable command) {
        suspension.whenReleased(command);
    }

    /** Records that a dispatcher granted a server that is sent nothing: it lacks the evacuation. */
    void recordOffer(BackendServerId server, ServiceName service) {
        offers.put(server, new Offer(service, clock.nanos()));
    }

    /** Servers of a service that dispatchers have granted a moment ago although they are evacuated. */
    List<BackendServerId> offeredServers(ServiceName service) {
        if (offers.isEmpty()) {
            return List.of();
        }
        long now = clock.nanos();
        offers.values().removeIf(each -> now - each.atNanos() >= OFFER_RETENTION_NANOS);
        List<BackendServerId> offered = new ArrayList<>();
        offers.forEach((server, offer) -> {
            if (offer.service().equals(service)) {
                offered.add(server);
            }
        });
        return offered;
    }
}
