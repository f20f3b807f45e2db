package org.elmline.daemon.service;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.ServiceReplica;

/** Chooses a replica of a plain service: the less busy of two drawn at random, by this entry's own open calls. */
final class Replicas {
    private final OwnerTable owners;
    private final MonotonicClock clock;
    private final Map<BackendServerId, AtomicInteger> open = new ConcurrentHashMap<>();

    Replicas(OwnerTable owners, MonotonicClock clock) {
        this.owners = owners;
        this.clock = clock;
    }

    /** One replica held for a call; closing it gives it back. */
    record Held(ServiceReplica replica, AtomicInteger calls) implements AutoCloseable {
        @Override
        public void close() {
            calls.decrementAndGet();
        }
    }

    /** Empty when no replica that wasn't tried takes calls. */
    Optional<Held> hold(ServiceName service, Set<BackendServerId> tried) {
        List<ServiceReplica> able = new ArrayList<>();
        Set<BackendServerId> seen = new HashSet<>(tried);
        for (ServiceReplica each : owners.serviceReplicas(service, clock.nanos())) {
            if (seen.add(each.server())) {
                able.add(each);
            }
        }
        if (able.isEmpty()) {
            return Optional.empty();
        }
        ServiceReplica first = draw(able);
        ServiceReplica second = draw(able);
        ServiceReplica chosen = calls(first).get() <= calls(second).get() ? first : second;
        calls(chosen).incrementAndGet();
        return Optional.of(new Held(chosen, calls(chosen)));
    }

    private static ServiceReplica draw(List<ServiceReplica> able) {
        return able.get(ThreadLocalRandom.current().nextInt(able.size()));
    }

    private AtomicInteger calls(ServiceReplica replica) {
        return open.computeIfAbsent(replica.server(), id -> new AtomicInteger());
    }
}
