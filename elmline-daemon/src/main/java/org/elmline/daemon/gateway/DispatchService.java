package org.elmline.daemon.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.Dispatcher;
import org.elmline.core.dispatch.DispatcherChoice;
import org.elmline.core.dispatch.PlaceAnswer;
import org.elmline.core.dispatch.PlaceCall;
import org.elmline.core.dispatch.RetryLimit;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.DecisionLog;

/** The dispatchers that this entry runs, one for each service it was asked about. Used on the I/O thread only. */
final class DispatchService {
    private final HostId self;
    private final RetryLimit retries;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Decisions decisions;
    private final Map<ServiceName, Dispatcher> dispatchers = new HashMap<>();
    private final Map<ServiceName, RoutedService> services = new HashMap<>();
    private final Map<String, HostId> waiting = new HashMap<>();
    private List<Registration> usable = List.of();
    private List<EntryRecord> entries = List.of();
    private boolean settled;

    /** Takes decisions on calls that waited. */
    interface Decisions {
        void decided(HostId host, PlaceAnswer answer);
    }

    DispatchService(HostId self, RetryLimit retries, MonotonicClock clock, DecisionLog log, Decisions decisions) {
        this.self = self;
        this.retries = retries;
        this.clock = clock;
        this.log = log;
        this.decisions = decisions;
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
        dispatchers.entrySet().removeIf(each -> !fits(each.getKey(), each.getValue()));
        Map<HostId, Long> starts = new HashMap<>();
        entries.forEach(each -> starts.put(each.host(), each.incarnation()));
        dispatchers.forEach((name, dispatcher) -> {
            dispatcher.servers(services.get(name), serversOf(name), now);
            dispatcher.askedFirst(askedFirst(name), now);
            dropGone(dispatcher, starts, now);
        });
        tick();
    }

    private boolean fits(ServiceName name, Dispatcher dispatcher) {
        RoutedService service = services.get(name);
        return service != null && dispatcher.fits(service);
    }

    private void dropGone(Dispatcher dispatcher, Map<HostId, Long> alive, long now) {
        if (alive.isEmpty()) {
            return;
        }
        dispatcher.holders().forEach((host, incarnation) -> {
            Long current = alive.get(host);
            if (current == null || !current.equals(incarnation)) {
                log.line("grants of a lost entry freed")
                        .with("entry", host)
                        .with("incarnation", incarnation)
                        .write();
                dispatcher.entryGone(host, incarnation, now);
            }
        });
    }

    private boolean askedFirst(ServiceName name) {
        return settled
                && DispatcherChoice.first(name, entries)
                        .map(first -> first.host().equals(self))
                        .orElse(true);
    }

    private List<Registration> serversOf(ServiceName name) {
        return usable.stream().filter(each -> each.service().equals(name)).toList();
    }

    private Optional<Dispatcher> dispatcher(ServiceName name) {
        RoutedService service = services.get(name);
        if (service == null) {
            return Optional.empty();
        }
        Dispatcher running = dispatchers.get(name);
        if (running == null) {
            long now = clock.nanos();
            boolean first = askedFirst(name);
            List<Registration> servers = serversOf(name);
            running = new Dispatcher(service, retries, now);
            running.servers(service, servers, now);
            running.askedFirst(first, now);
            dispatchers.put(name, running);
            log.line("dispatching")
                    .with("service", name)
                    .with("first", first)
                    .with("servers", servers.size())
                    .write();
        }
        return Optional.of(running);
    }

    PlaceAnswer place(PlaceCall call) {
        Optional<Dispatcher> dispatcher = dispatcher(call.service());
        if (dispatcher.isEmpty()) {
            return new PlaceAnswer.Refused(call.attempt(), PlaceAnswer.Why.NO_SERVER, 200);
        }
        PlaceAnswer answer = dispatcher.get().place(call, clock.nanos());
        if (answer instanceof PlaceAnswer.Queued) {
            waiting.put(call.attempt(), call.host());
        }
        return answer;
    }

    void report(ServiceName service, List<AttemptReport> reports) {
        dispatcher(service).ifPresent(each -> {
            long now = clock.nanos();
            for (AttemptReport report : reports) {
                each.report(report, now);
                if (report.end() != null) {
                    waiting.remove(report.attempt());
                }
            }
            tick(each);
        });
    }

    /** Frees the place of an attempt that its entry knows nothing of. */
    void giveBack(AttemptReport report) {
        dispatchers.values().forEach(each -> each.report(report, clock.nanos()));
    }

    void adopt(Adoption adoption) {
        dispatcher(adoption.service()).ifPresent(each -> {
            long now = clock.nanos();
            if (adoption.all()) {
                each.keepOnly(adoption.host(), adoption.incarnation(), adoption.open(), now);
            }
            adoption.open().forEach(grant -> each.adopt(grant, now));
        });
    }

    /** Lets time pass; to be called often while calls wait. */
    void tick() {
        dispatchers.values().forEach(this::tick);
    }

    private void tick(Dispatcher dispatcher) {
        for (PlaceAnswer each : dispatcher.tick(clock.nanos())) {
            HostId host = waiting.remove(each.attempt());
            if (host != null) {
                decisions.decided(host, each);
            }
        }
    }

    boolean anyWaiting() {
        return !waiting.isEmpty();
    }
}
