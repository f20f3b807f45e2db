package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.Dispatcher;
import org.elmline.core.dispatch.DispatcherChoice;
import org.elmline.core.dispatch.RetryLimit;
import org.elmline.core.dispatch.ServiceShard;
import org.elmline.core.dispatch.Shard;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.DecisionLog;

/** The dispatchers that this entry runs, one for each shard of a service that it was asked about. Used on the I/O thread only. */
final class DispatchService {
    /**
     * Part of the thread's time that looking through waiting calls may take. In a burst each call and each report would
     * have all that wait looked through, and this host would answer nobody for a second.
     */
    private static final double LOOK_SHARE = 0.2;

    /** A look during which this process was not run seems to have taken long; calls that wait need not pay for it. */
    private static final long LONGEST_REST_NANOS = Duration.ofMillis(40).toNanos();

    private final HostId self;
    private final RetryLimit retries;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Decisions decisions;
    private final Map<ServiceShard, Running> dispatchers = new HashMap<>();
    private final Map<ServiceName, RoutedService> services = new HashMap<>();
    private final Map<String, HostId> waiting = new HashMap<>();
    private final HeardLimits limits;
    private List<Registration> usable = List.of();
    private List<EntryRecord> entries = List.of();
    private boolean settled;
    private Runnable onWork = () -> {};

    private static final class Running {
        private final Dispatcher dispatcher;
        private final WorkShare looks = new WorkShare(LOOK_SHARE, LONGEST_REST_NANOS);

        Running(Dispatcher dispatcher) {
            this.dispatcher = dispatcher;
        }
    }

    /** Takes decisions on calls that waited. */
    interface Decisions {
        void decided(HostId host, DispatchAnswer answer);
    }

    DispatchService(HostId self, RetryLimit retries, MonotonicClock clock, DecisionLog log, Decisions decisions) {
        this.self = self;
        this.retries = retries;
        this.clock = clock;
        this.log = log;
        this.decisions = decisions;
        this.limits = new HeardLimits(clock, log);
    }

    /**
     * Takes what has changed of the deployment.
     *
     * @param isSettled whether these are all entries that live
     */
    void update(RoutingTable table, List<Registration> servers, Collection<EntryRecord> alive, boolean isSettled) {
        settled = isSettled;
        long now = clock.nanos();
        usable = servers;
        entries = List.copyOf(alive);
        services.clear();
        table.services().forEach(each -> services.put(each.name(), each));
        dispatchers.entrySet().removeIf(each -> !fits(each.getKey(), each.getValue().dispatcher));
        Map<HostId, Long> starts = new HashMap<>();
        entries.forEach(each -> starts.put(each.host(), each.incarnation()));
        dispatchers.forEach((shard, running) -> {
            running.dispatcher.updateServers(services.get(shard.service()), serversOf(shard), now);
            running.dispatcher.updatePrimary(askedFirst(shard), now);
            running.dispatcher.updateEntryCount(entries.size());
            dropGone(running.dispatcher, starts, now);
        });
        tick();
    }

    /** One of other shards than there are now is kept while calls run on it. */
    private boolean fits(ServiceShard shard, Dispatcher dispatcher) {
        RoutedService service = services.get(shard.service());
        boolean current =
                Shard.forServerCount(serversOf(shard.service()).size()).contains(shard.shard());
        boolean used = dispatcher.running() + dispatcher.waiting() > 0;
        return service != null && dispatcher.isCompatibleWith(service) && (current || used);
    }

    private void dropGone(Dispatcher dispatcher, Map<HostId, Long> alive, long now) {
        if (alive.isEmpty()) {
            return;
        }
        dispatcher.activeEntries().forEach((host, incarnation) -> {
            Long current = alive.get(host);
            if (current == null || !current.equals(incarnation)) {
                log.line("grants of a lost entry freed")
                        .with("entry", host)
                        .with("incarnation", incarnation)
                        .write();
                dispatcher.removeEntry(host, incarnation, now);
            }
        });
    }

    private boolean askedFirst(ServiceShard shard) {
        return settled
                && DispatcherChoice.first(shard, entries)
                        .map(first -> first.host().equals(self))
                        .orElse(true);
    }

    private List<Registration> serversOf(ServiceName name) {
        return usable.stream().filter(each -> each.service().equals(name)).toList();
    }

    private List<Registration> serversOf(ServiceShard shard) {
        return serversOf(shard.service()).stream()
                .filter(each -> shard.shard().contains(each.id()))
                .toList();
    }

    private Optional<Running> dispatcher(ServiceShard shard) {
        RoutedService service = services.get(shard.service());
        if (service == null) {
            return Optional.empty();
        }
        Running running = dispatchers.get(shard);
        if (running == null) {
            long now = clock.nanos();
            boolean first = askedFirst(shard);
            List<Registration> servers = serversOf(shard);
            running = new Running(
                    new Dispatcher(service, retries.dividedInto(shard.shard().count()), limits.table(), now));
            running.dispatcher.updateServers(service, servers, now);
            running.dispatcher.updatePrimary(first, now);
            running.dispatcher.updateEntryCount(entries.size());
            dispatchers.put(shard, running);
            log.line("dispatching")
                    .with("service", shard)
                    .with("first", first)
                    .with("servers", servers.size())
                    .write();
            onWork.run();
        }
        return Optional.of(running);
    }

    /** The limits that servers have named. */
    HeardLimits limits() {
        return limits;
    }

    /** Tells of a dispatcher that was not there, and of each call that begins to wait. */
    void onWork(Runnable listener) {
        onWork = listener;
    }

    DispatchAnswer place(DispatchCall call) {
        Optional<Running> dispatcher = dispatcher(call.serviceShard());
        if (dispatcher.isEmpty()) {
            return new DispatchAnswer.Refused(call.attempt(), DispatchAnswer.RefusalCause.NO_SERVER, 200);
        }
        tick(dispatcher.get());
        DispatchAnswer answer = dispatcher.get().dispatcher.place(call, clock.nanos());
        if (answer instanceof DispatchAnswer.Queued) {
            waiting.put(call.attempt(), call.host());
            onWork.run();
        }
        return answer;
    }

    void report(ServiceName service, List<AttemptReport> reports) {
        long now = clock.nanos();
        for (Running each : running(service)) {
            reports.forEach(report -> each.dispatcher.report(report, now));
            tick(each);
        }
        for (AttemptReport each : reports) {
            if (each.end() != null) {
                waiting.remove(each.attempt());
            }
        }
    }

    /** A copy: what is decided may lead to a call of this entry that asks a dispatcher not there yet. */
    private List<Running> running() {
        return List.copyOf(dispatchers.values());
    }

    private List<Running> running(ServiceName service) {
        List<Running> all = new ArrayList<>();
        dispatchers.forEach((shard, running) -> {
            if (shard.service().equals(service)) {
                all.add(running);
            }
        });
        return all;
    }

    /** Frees the place of an attempt that its entry knows nothing of. */
    void giveBack(AttemptReport report) {
        running().forEach(each -> each.dispatcher.report(report, clock.nanos()));
    }

    void adopt(Adoption adoption) {
        adoption.limits().forEach(each -> limits.take(each.server(), each.limit(), "entry"));
        dispatcher(adoption.serviceShard()).ifPresent(running -> {
            Dispatcher each = running.dispatcher;
            long now = clock.nanos();
            if (adoption.all()) {
                each.reconcileGrants(adoption.host(), adoption.incarnation(), adoption.open(), now);
            }
            adoption.open().forEach(grant -> each.adopt(grant, now));
            if (!adoption.all()) {
                adoption.open()
                        .forEach(grant -> each.recordRemoteSend(grant.granted().server(), now));
            }
        });
    }

    /** Lets time pass; to be called often while calls wait. */
    void tick() {
        running().forEach(this::tick);
    }

    private void tick(Running running) {
        long now = clock.nanos();
        if (!running.looks.allows(now)) {
            return;
        }
        List<DispatchAnswer> decided = running.dispatcher.tick(now);
        running.looks.took(now, clock.nanos());
        for (DispatchAnswer each : decided) {
            HostId host = waiting.remove(each.attempt());
            if (host != null) {
                decisions.decided(host, each);
            }
        }
    }

    /** Whether this entry decides for anybody. */
    boolean any() {
        return !dispatchers.isEmpty();
    }

    boolean anyWaiting() {
        return !waiting.isEmpty();
    }
}
