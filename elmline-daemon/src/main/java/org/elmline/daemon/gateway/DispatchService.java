package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.admission.AdmissionMode;
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
import org.elmline.core.dispatch.SingleDispatcher;
import org.elmline.core.registry.ColdEnds;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.DecisionLog;

/**
 * The dispatchers that this entry runs, one for each shard of a service for which it has received a request. Used on
 * the I/O thread only.
 */
final class DispatchService {
    /**
     * Largest part of the thread's time for one dispatcher's passes over its waiting calls. In a burst every call and
     * every report would cause a pass over the whole queue, and this host would answer nothing for a second.
     */
    private static final double TICK_TIME_SHARE = 0.2;

    /**
     * Longest pause after a pass. A pass during which this process was suspended appears to have taken long, and
     * waiting calls must not be delayed in proportion to it.
     */
    private static final long MAX_TICK_PAUSE_NANOS = Duration.ofMillis(40).toNanos();

    private final HostId self;
    private final RetryLimit retries;
    private final AdmissionMode admission;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final DecisionListener decisionListener;
    private final Map<ServiceShard, RunningDispatcher> dispatchers = new HashMap<>();
    private final Map<ServiceName, RoutedService> services = new HashMap<>();
    private final Map<String, HostId> hostsOfWaitingCalls = new HashMap<>();
    private final ObservedServerLimits observedLimits;
    private final ColdServerTracker coldServers;
    private List<Registration> usableServers = List.of();
    private List<EntryRecord> entries = List.of();
    private boolean entriesComplete;
    private Runnable onWorkAdded = () -> {};

    private static final class RunningDispatcher {
        private final Dispatcher dispatcher;
        private final DutyCycleLimiter tickLimiter = new DutyCycleLimiter(TICK_TIME_SHARE, MAX_TICK_PAUSE_NANOS);
        private final SingleDispatcher single = new SingleDispatcher();
        private boolean isFirst;
        private long countedPaced;

        RunningDispatcher(Dispatcher dispatcher) {
            this.dispatcher = dispatcher;
        }
    }

    /** Receives the decisions on calls that waited. */
    interface DecisionListener {
        void onDecision(HostId host, DispatchAnswer answer);
    }

    /** Creates dispatchers of services whose servers are never cold. */
    DispatchService(
            HostId self,
            RetryLimit retries,
            AdmissionMode admission,
            MonotonicClock clock,
            DecisionLog log,
            DecisionListener decisionListener) {
        this(
                self,
                retries,
                admission,
                clock,
                log,
                new ColdServerTracker(new ColdEnds(), () -> true, clock, log, new MetricRegistry()),
                decisionListener);
    }

    /**
     * @param admission how dispatchers of services with engines decide whether a call can still be served in time
     * @param coldServers updated before {@link #update} is called
     */
    DispatchService(
            HostId self,
            RetryLimit retries,
            AdmissionMode admission,
            MonotonicClock clock,
            DecisionLog log,
            ColdServerTracker coldServers,
            DecisionListener decisionListener) {
        this.self = self;
        this.coldServers = coldServers;
        this.retries = retries;
        this.admission = admission;
        this.clock = clock;
        this.log = log;
        this.decisionListener = decisionListener;
        this.observedLimits = new ObservedServerLimits(clock, log);
    }

    /**
     * Applies a change of the deployment.
     *
     * @param entriesComplete whether these are all live entries
     */
    void update(
            RoutingTable table,
            List<Registration> servers,
            Collection<EntryRecord> liveEntries,
            boolean entriesComplete) {
        this.entriesComplete = entriesComplete;
        long now = clock.nanos();
        usableServers = servers;
        entries = List.copyOf(liveEntries);
        services.clear();
        table.services().forEach(each -> services.put(each.name(), each));
        dispatchers.entrySet().removeIf(each -> !isNeeded(each.getKey(), each.getValue().dispatcher));
        Map<HostId, Long> incarnations = new HashMap<>();
        entries.forEach(each -> incarnations.put(each.host(), each.incarnation()));
        dispatchers.forEach((shard, running) -> {
            running.dispatcher.updateServers(services.get(shard.service()), serversOf(shard), now);
            running.isFirst = isFirstDispatcher(shard);
            running.dispatcher.updatePrimary(running.isFirst, now);
            running.dispatcher.updateEntryCount(entries.size());
            updateColdServers(running, shard.service(), now);
            releaseLostEntries(running.dispatcher, incarnations, now);
        });
        tick();
    }

    /**
     * Whether a dispatcher is still needed. One for a shard of an earlier partition of the service is
     * kept while calls run or wait on it.
     */
    private boolean isNeeded(ServiceShard shard, Dispatcher dispatcher) {
        RoutedService service = services.get(shard.service());
        boolean current =
                Shard.forServerCount(serversOf(shard.service()).size()).contains(shard.shard());
        boolean inUse = dispatcher.running() + dispatcher.waiting() > 0;
        return service != null && dispatcher.isCompatibleWith(service) && (current || inUse);
    }

    private void releaseLostEntries(Dispatcher dispatcher, Map<HostId, Long> liveEntries, long now) {
        if (liveEntries.isEmpty()) {
            return;
        }
        dispatcher.activeEntries().forEach((host, incarnation) -> {
            Long current = liveEntries.get(host);
            if (current == null || !current.equals(incarnation)) {
                log.line("grants of lost entry released")
                        .with("entry", host)
                        .with("incarnation", incarnation)
                        .write();
                dispatcher.removeEntry(host, incarnation, now);
            }
        });
    }

    private boolean isFirstDispatcher(ServiceShard shard) {
        return entriesComplete
                && DispatcherChoice.first(shard, entries)
                        .map(first -> first.host().equals(self))
                        .orElse(true);
    }

    private List<Registration> serversOf(ServiceName name) {
        return usableServers.stream()
                .filter(each -> each.service().equals(name))
                .toList();
    }

    private List<Registration> serversOf(ServiceShard shard) {
        return serversOf(shard.service()).stream()
                .filter(each -> shard.shard().contains(each.id()))
                .toList();
    }

    private Optional<RunningDispatcher> dispatcherFor(ServiceShard shard) {
        RoutedService service = services.get(shard.service());
        if (service == null) {
            return Optional.empty();
        }
        RunningDispatcher running = dispatchers.get(shard);
        if (running == null) {
            long now = clock.nanos();
            boolean first = isFirstDispatcher(shard);
            List<Registration> servers = serversOf(shard);
            running = new RunningDispatcher(new Dispatcher(
                    service, retries.forShard(shard.shard()), observedLimits.serverLimits(), admission, now));
            running.dispatcher.updateServers(service, servers, now);
            running.isFirst = first;
            running.dispatcher.updatePrimary(first, now);
            running.dispatcher.updateEntryCount(entries.size());
            updateColdServers(running, shard.service(), now);
            dispatchers.put(shard, running);
            log.line("dispatcher started")
                    .with("service", shard)
                    .with("first", first)
                    .with("servers", servers.size())
                    .write();
            onWorkAdded.run();
        }
        return Optional.of(running);
    }

    private void updateColdServers(RunningDispatcher running, ServiceName service, long now) {
        updateSenders(running, now);
        running.dispatcher.coldLimits().update(coldServers.coldServers(service), now);
    }

    /** Also called in each pass, as a process that was frozen may have been replaced as the dispatcher meanwhile. */
    private void updateSenders(RunningDispatcher running, long now) {
        boolean single = running.single.update(running.isFirst, coldServers.isConfirmed(), now);
        running.dispatcher
                .coldLimits()
                .updateSenders(!single, coldServers.shareCandidates(), coldServers.lostEntries(), now);
        long paced = running.dispatcher.coldLimits().passedOver();
        coldServers.countPaced(paced - running.countedPaced);
        running.countedPaced = paced;
    }

    /** The rate limits that servers have reported. */
    ObservedServerLimits observedLimits() {
        return observedLimits;
    }

    /** Sets a listener that is notified of each new dispatcher and of each call that begins to wait. */
    void onWorkAdded(Runnable listener) {
        onWorkAdded = listener;
    }

    DispatchAnswer place(DispatchCall call) {
        Optional<RunningDispatcher> dispatcher = dispatcherFor(call.serviceShard());
        if (dispatcher.isEmpty()) {
            return new DispatchAnswer.Refused(call.attempt(), DispatchAnswer.RefusalCause.NO_SERVER, 200);
        }
        tick(dispatcher.get());
        DispatchAnswer answer = dispatcher.get().dispatcher.place(call, clock.nanos());
        if (answer instanceof DispatchAnswer.Queued) {
            hostsOfWaitingCalls.put(call.attempt(), call.host());
            onWorkAdded.run();
        }
        return answer;
    }

    void report(ServiceName service, List<AttemptReport> reports) {
        long now = clock.nanos();
        for (RunningDispatcher each : runningDispatchers(service)) {
            reports.forEach(report -> each.dispatcher.report(report, now));
            tick(each);
        }
        for (AttemptReport each : reports) {
            if (each.end() != null) {
                hostsOfWaitingCalls.remove(each.attempt());
            }
        }
    }

    /**
     * Returns a copy: a decision may start a call of this entry for a service that has no dispatcher yet, which adds
     * one.
     */
    private List<RunningDispatcher> runningDispatchers() {
        return List.copyOf(dispatchers.values());
    }

    private List<RunningDispatcher> runningDispatchers(ServiceName service) {
        List<RunningDispatcher> all = new ArrayList<>();
        dispatchers.forEach((shard, running) -> {
            if (shard.service().equals(service)) {
                all.add(running);
            }
        });
        return all;
    }

    /** Releases the place of an attempt that is not pending at its entry. */
    void releasePlace(AttemptReport report) {
        runningDispatchers().forEach(each -> each.dispatcher.report(report, clock.nanos()));
    }

    void adopt(Adoption adoption) {
        adoption.limits().forEach(each -> observedLimits.record(each.server(), each.limit(), "entry"));
        dispatcherFor(adoption.serviceShard()).ifPresent(running -> {
            Dispatcher each = running.dispatcher;
            long now = clock.nanos();
            if (adoption.all()) {
                each.reconcileGrants(adoption.host(), adoption.incarnation(), adoption.open(), now);
            }
            adoption.open().forEach(grant -> each.adopt(grant, now));
            if (!adoption.all()) {
                adoption.open()
                        .forEach(grant -> each.recordRemoteSend(grant.granted().server(), adoption.host(), now));
            }
        });
    }

    /** Runs a pass over waiting calls; to be called often while calls wait. */
    void tick() {
        runningDispatchers().forEach(this::tick);
    }

    private void tick(RunningDispatcher running) {
        long now = clock.nanos();
        if (!running.tickLimiter.mayRun(now)) {
            return;
        }
        updateSenders(running, now);
        List<DispatchAnswer> decided = running.dispatcher.tick(now);
        running.tickLimiter.recordRun(now, clock.nanos());
        for (DispatchAnswer each : decided) {
            HostId host = hostsOfWaitingCalls.remove(each.attempt());
            if (host != null) {
                decisionListener.onDecision(host, each);
            }
        }
    }

    /** Whether this entry runs any dispatcher. */
    boolean hasDispatchers() {
        return !dispatchers.isEmpty();
    }

    boolean hasWaitingCalls() {
        return !hostsOfWaitingCalls.isEmpty();
    }
}
