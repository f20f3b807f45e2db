package org.elmline.daemon.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.ColdServers;
import org.elmline.core.dispatch.RecentEntries;
import org.elmline.core.registry.ColdEnds;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.DecisionLog;

/**
 * The servers that are cold by the reports that this entry has received, with a log line for each that becomes cold or
 * warm. Used on the I/O thread only.
 */
final class ColdServerTracker {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final ColdEnds ends;
    private final BooleanSupplier confirmed;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Counter paced;
    private final RecentEntries recentEntries = new RecentEntries();
    private final Map<BackendServerId, ColdServer> coldServers = new HashMap<>();
    private Map<ServiceName, ColdServers> byService = Map.of();
    private List<HostId> shareCandidates = List.of();
    private volatile int coldCount;

    private record ColdServer(long bornMillis, long endNanos) {}

    /**
     * @param ends when servers stop being cold, by their registrations
     * @param confirmed whether this entry is in contact with a control host that a leader confirms
     */
    ColdServerTracker(
            ColdEnds ends, BooleanSupplier confirmed, MonotonicClock clock, DecisionLog log, MetricRegistry metrics) {
        this.ends = ends;
        this.confirmed = confirmed;
        this.clock = clock;
        this.log = log;
        this.paced = metrics.counter("backend.cold.paced");
        metrics.gauge("backend.cold.servers", () -> () -> coldCount);
    }

    /** Applies a change of the deployment. */
    void update(RoutingTable table, List<Registration> usable, Collection<EntryRecord> entries) {
        long now = clock.nanos();
        shareCandidates =
                recentEntries.update(entries.stream().map(EntryRecord::host).toList(), now);
        Map<ServiceName, ColdServers> next = new HashMap<>();
        for (RoutedService each : table.services()) {
            next.put(each.name(), ColdServers.of(each, usable, ends, now));
        }
        byService = next;
        Map<BackendServerId, Long> coldEnds = new HashMap<>();
        next.values().forEach(each -> coldEnds.putAll(each.endsNanos()));
        for (Registration each : usable) {
            Long endNanos = coldEnds.get(each.id());
            if (endNanos != null) {
                recordCold(each, endNanos, now);
            }
        }
        List<BackendServerId> notCold = coldServers.keySet().stream()
                .filter(each -> !coldEnds.containsKey(each))
                .toList();
        notCold.forEach(each -> recordWarm(each, now));
        coldCount = coldServers.size();
    }

    private void recordCold(Registration server, long endNanos, long now) {
        ColdServer previous = coldServers.put(server.id(), new ColdServer(server.bornMillis(), endNanos));
        if (previous == null || previous.bornMillis() != server.bornMillis()) {
            log.line("server cold")
                    .with("server", server.id())
                    .with("born", server.bornMillis())
                    .with("leftMs", (endNanos - now) / NANOS_PER_MILLI)
                    .write();
        }
    }

    private void recordWarm(BackendServerId server, long now) {
        ColdServer cold = coldServers.remove(server);
        log.line("server warm")
                .with("server", server)
                .with("born", cold.bornMillis())
                .with("leftMs", Math.max(0, (cold.endNanos() - now) / NANOS_PER_MILLI))
                .write();
    }

    /** Records the servers whose cold time is over. */
    void recordEnds() {
        long now = clock.nanos();
        List<BackendServerId> ended = coldServers.entrySet().stream()
                .filter(each -> now - each.getValue().endNanos() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(each -> recordWarm(each, now));
        coldCount = coldServers.size();
    }

    /** Milliseconds until the next server is warm, rounded up; empty when none is cold. */
    OptionalLong millisToNextEnd() {
        long now = clock.nanos();
        return coldServers.values().stream()
                .mapToLong(each -> Math.max(0, each.endNanos() - now) / NANOS_PER_MILLI + 1)
                .min();
    }

    /** The cold servers of a service. */
    ColdServers coldServers(ServiceName service) {
        return byService.getOrDefault(service, ColdServers.NONE);
    }

    /** The entries that shares of cold servers are given to. */
    List<HostId> shareCandidates() {
        return shareCandidates;
    }

    /** Those of the entries that seem to be lost. */
    Set<HostId> lostEntries() {
        return recentEntries.lost();
    }

    /** Whether this entry is in contact with a control host that a leader confirms. */
    boolean isConfirmed() {
        return confirmed.getAsBoolean();
    }

    /** Counts placements that passed over a cold server. */
    void countPaced(long placements) {
        paced.inc(placements);
    }
}
