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
import org.elmline.core.dispatch.SendRestrictions;
import org.elmline.core.dispatch.ServerNotice;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.ServiceReplica;
import org.jboss.logging.Logger;

/**
 * Selects a replica of a plain service: the less busy of two drawn at random, by this entry's own open calls, among
 * those that accept calls by what they stated. Thread-safe.
 */
final class ReplicaSelector {
    private static final Logger LOG = Logger.getLogger(ReplicaSelector.class);

    private final OwnerTable owners;
    private final MonotonicClock clock;
    private final Map<BackendServerId, AtomicInteger> openCalls = new ConcurrentHashMap<>();
    /** Guarded by itself. */
    private final SendRestrictions restrictions = new SendRestrictions();

    ReplicaSelector(OwnerTable owners, MonotonicClock clock) {
        this.owners = owners;
        this.clock = clock;
    }

    /** One replica acquired for a call; closing it decrements the replica's open calls. */
    record AcquiredReplica(ServiceReplica replica, AtomicInteger openCalls) implements AutoCloseable {
        @Override
        public void close() {
            openCalls.decrementAndGet();
        }
    }

    /** Acquires a replica outside {@code tried}; empty when none is available. */
    Optional<AcquiredReplica> acquire(ServiceName service, Set<BackendServerId> tried) {
        List<ServiceReplica> candidates = new ArrayList<>();
        Set<BackendServerId> seen = new HashSet<>(tried);
        for (ServiceReplica each : owners.serviceReplicas(service, clock.nanos())) {
            if (seen.add(each.server()) && allows(each)) {
                candidates.add(each);
            }
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ServiceReplica first = pickRandom(candidates);
        ServiceReplica second = pickRandom(candidates);
        ServiceReplica chosen = openCallsOf(first).get() <= openCallsOf(second).get() ? first : second;
        openCallsOf(chosen).incrementAndGet();
        return Optional.of(new AcquiredReplica(chosen, openCallsOf(chosen)));
    }

    /** Records what a replica stated about itself in an answer. */
    void onAnswer(ServiceReplica replica, ServerNotice notice) {
        boolean restricted;
        synchronized (restrictions) {
            restricted =
                    restrictions.update(replica.server(), replica.incarnation().value(), notice, clock.nanos());
        }
        if (restricted) {
            LOG.infof(
                    "%s gets no calls: leaving %s, backoff %d ms",
                    replica.server(), notice.leaving(), notice.backoffMillis());
        }
    }

    private boolean allows(ServiceReplica replica) {
        synchronized (restrictions) {
            return restrictions.allows(replica.server(), replica.incarnation().value(), clock.nanos());
        }
    }

    private static ServiceReplica pickRandom(List<ServiceReplica> candidates) {
        return candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
    }

    private AtomicInteger openCallsOf(ServiceReplica replica) {
        return openCalls.computeIfAbsent(replica.server(), id -> new AtomicInteger());
    }
}
