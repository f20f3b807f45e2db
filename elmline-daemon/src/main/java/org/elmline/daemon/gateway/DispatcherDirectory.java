package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.Supplier;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.DispatcherChoice;
import org.elmline.core.dispatch.ServiceShard;
import org.elmline.core.dispatch.Shard;
import org.elmline.core.dispatch.ShardChoice;
import org.elmline.core.registry.EntryRecord;

/**
 * Determines which entries dispatch which shards, and which dispatchers are suspected for a while. Used on the I/O
 * thread only.
 */
final class DispatcherDirectory {
    /** Time for which a dispatcher that did not answer gets no requests. */
    private static final long SUSPICION_NANOS = Duration.ofMillis(700).toNanos();

    private final Supplier<Collection<EntryRecord>> entries;
    private final Function<ServiceName, List<BackendServerId>> servers;
    private final MonotonicClock clock;
    private final SplittableRandom random = new SplittableRandom();
    private final Map<HostId, Long> suspectedUntilNanos = new HashMap<>();
    private final Map<ServiceShard, List<EntryRecord>> cachedOrders = new HashMap<>();
    private Collection<EntryRecord> cachedEntries = List.of();

    /**
     * @param entries all live entries
     * @param servers the servers of a service that may be used
     */
    DispatcherDirectory(
            Supplier<Collection<EntryRecord>> entries,
            Function<ServiceName, List<BackendServerId>> servers,
            MonotonicClock clock) {
        this.entries = entries;
        this.servers = servers;
        this.clock = clock;
    }

    List<ServiceShard> shards(ServiceName service) {
        return serviceShards(
                service, Shard.forServerCount(servers.apply(service).size()));
    }

    /** The shards of a service in the order in which one call tries them. */
    List<ServiceShard> shardsByPreference(ServiceName service) {
        return serviceShards(service, ShardChoice.order(servers.apply(service), random));
    }

    private static List<ServiceShard> serviceShards(ServiceName service, List<Shard> shards) {
        return shards.stream().map(each -> new ServiceShard(service, each)).toList();
    }

    ServiceShard shardOf(ServiceName service, BackendServerId server) {
        return shards(service).stream()
                .filter(each -> each.shard().contains(server))
                .findFirst()
                .orElseThrow();
    }

    /** The entries that may dispatch a shard, in order of preference. */
    List<EntryRecord> byPreference(ServiceShard shard) {
        Collection<EntryRecord> liveEntries = entries.get();
        if (liveEntries != cachedEntries) {
            cachedOrders.clear();
            cachedEntries = liveEntries;
        }
        return cachedOrders.computeIfAbsent(shard, each -> DispatcherChoice.order(each, liveEntries));
    }

    /** Records that a dispatcher has not answered in time. */
    void suspect(HostId dispatcher) {
        suspectedUntilNanos.put(dispatcher, clock.nanos() + SUSPICION_NANOS);
    }

    /** Records that a dispatcher has answered. */
    void clearSuspicion(HostId dispatcher) {
        suspectedUntilNanos.remove(dispatcher);
    }

    boolean isSuspected(HostId dispatcher) {
        Long untilNanos = suspectedUntilNanos.get(dispatcher);
        return untilNanos != null && clock.nanos() - untilNanos < 0;
    }
}
