package org.elmline.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Handlers;
import io.undertow.server.RoutingHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.control.HostRecord;
import org.elmline.core.owner.Owner;
import org.elmline.core.owner.OwnerSettings;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.OwnerTable;
import org.elmline.core.route.OwnerTableSettings;
import org.elmline.core.route.RouteChannels;
import org.elmline.core.route.SummarySchedule;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HostEvent;
import org.elmline.daemon.backend.AnnounceHandler;
import org.elmline.daemon.backend.EngineClients;
import org.elmline.daemon.backend.EngineObserver;
import org.elmline.daemon.backend.OwnerMaintenance;
import org.elmline.daemon.backend.OwnerService;
import org.elmline.daemon.backend.PlacementFactory;
import org.elmline.daemon.backend.SummarySender;
import org.elmline.daemon.caller.AdmissionController;
import org.elmline.daemon.caller.CompletionGateway;
import org.elmline.daemon.caller.CompletionsHandler;
import org.elmline.daemon.caller.EngineCancellations;
import org.elmline.daemon.caller.EntryHostsHandler;
import org.elmline.daemon.caller.GrantTracker;
import org.elmline.daemon.caller.ModelsHandler;
import org.elmline.daemon.caller.OrganisationLimitService;
import org.elmline.daemon.caller.Placer;
import org.elmline.daemon.caller.PromptQuarantine;
import org.elmline.daemon.component.DaggerProcessComponent;
import org.elmline.daemon.component.ProcessComponent;
import org.elmline.daemon.http.HttpLimits;
import org.elmline.daemon.http.HttpListener;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.http.WorkerBodyReader;
import org.elmline.daemon.openai.ApiKind;
import org.elmline.daemon.operator.OperatorKeyHandler;
import org.elmline.daemon.operator.QuarantineHandler;
import org.elmline.daemon.operator.StatusHandler;
import org.elmline.daemon.operator.TicketsHandler;
import org.elmline.daemon.runtime.ProcessExecutors;
import org.elmline.daemon.service.IdempotencyKeysHandler;
import org.elmline.daemon.service.ServiceGateway;
import org.elmline.daemon.service.ServiceHandler;
import org.elmline.daemon.settings.EntrySettings;
import org.elmline.daemon.settings.ListenAddress;
import org.elmline.daemon.settings.Secret;
import org.elmline.wire.tcp.PeerHandlers;
import org.elmline.wire.tcp.PeerKey;
import org.elmline.wire.tcp.PeerLimits;
import org.elmline.wire.tcp.TcpPeerNetwork;
import org.elmline.wire.tcp.TcpPeerServer;
import org.jboss.logging.Logger;

/** One entry host: opens its ports, services and connections, connects them and stops them gracefully. */
public final class EntryDaemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
    private static final int BODY_TIMEOUT_MILLIS = 30_000;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long STOP_CHECK_MILLIS = 20;

    /** Limit on the time to answer what is no admitted call; a ticket takes 8 s at most. */
    private static final long FINISH_TIMEOUT_MILLIS = 9_000;

    private static final long SUMMARY_INTERVAL_MILLIS = 2_000;
    private static final double SUMMARY_BYTES_PER_SECOND = 2_000;

    private final Closer closer = new Closer();
    private final EntrySettings settings;
    private final ProcessComponent process;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final EventRing events;
    private final AtomicBoolean leaving = new AtomicBoolean();
    private final HostIdentity self;
    private final RoutingHandler callerRoutes = newRoutes();
    private final RoutingHandler operatorRoutes = newRoutes();
    private HttpListener callers;
    private HttpListener operators;
    private TcpPeerServer peers;
    private AdmissionController admission;
    private LeaseRenewer renewer;
    private Owner owner;
    private PromptQuarantine quarantine;
    private ControlCalls control;

    private EntryDaemon(EntrySettings settings) {
        this.settings = settings;
        this.self = new HostIdentity(
                settings.host(),
                Incarnation.of(System.currentTimeMillis()),
                settings.failureDomain(),
                settings.region());
        this.process = DaggerProcessComponent.factory().create(self.host(), self.incarnation(), settings.timeline());
        this.clock = process.clock();
        this.metrics = process.metrics();
        this.events = process.events();
    }

    /** Opens everything and starts to serve; on failure, closes what was opened. */
    public static EntryDaemon start(EntrySettings settings) throws IOException {
        EntryDaemon daemon = new EntryDaemon(settings);
        try {
            daemon.open();
            return daemon;
        } catch (IOException | RuntimeException e) {
            daemon.close();
            throw e;
        }
    }

    private void open() throws IOException {
        ProcessExecutors executors =
                closer.register(new ProcessExecutors("entry", settings.limits().maxConcurrentRequests()));
        PeerKey key = new PeerKey(settings.keys().peerKey().value());
        PeerHandlers handlers = new PeerHandlers(executors.handlers());
        bind(executors, key, handlers);
        TcpPeerNetwork network = closer.register(new TcpPeerNetwork(
                key,
                PeerLimits.DEFAULT,
                executors.channelGroup(),
                executors.timer(),
                executors.handlers(),
                process.hybridClock()));
        LeasedView view = new LeasedView(clock);
        List<Address> seeds =
                settings.control().stream().map(each -> each.peers()).toList();
        ControlClient client = new ControlClient(network, clock, executors.timer(), seeds);
        admission = new AdmissionController(
                self, view, clock, settings.callers(), settings.limits().maxConcurrentRequests(), metrics);
        WorkerBodyReader bodies = new WorkerBodyReader(executors.streams());
        control = new ControlCalls(client);
        openBackends(executors, handlers, network, view, bodies);
        openOperators(view, bodies);
        renewer = new LeaseRenewer(
                client,
                view,
                clock,
                this::hostRecord,
                Duration.ofMillis(settings.lease().renewMillis()),
                metrics,
                events,
                admission::stopAdmission);
        renewer.start(executors.timer());
        events.record(new HostEvent.Started(self.host(), self.incarnation(), "entry"));
        LOG.infof("entry host %s serves callers at %s", self.host(), callers.address());
    }

    /** Binds all ports first, since this host's record names their addresses; the handlers are added later. */
    private void bind(ProcessExecutors executors, PeerKey key, PeerHandlers handlers) throws IOException {
        ListenAddress bind = settings.addresses().peers();
        peers = closer.register(TcpPeerServer.start(
                new InetSocketAddress(bind.ip(), bind.port()),
                handlers,
                key,
                PeerLimits.DEFAULT,
                executors.channelGroup(),
                executors.timer(),
                process.hybridClock()));
        callers = closer.register(listen(settings.addresses().callers(), callerRoutes));
        List<String> operatorKeys =
                settings.keys().operatorKeys().stream().map(Secret::value).toList();
        operators = closer.register(
                listen(settings.addresses().operators(), new OperatorKeyHandler(operatorKeys, operatorRoutes)));
    }

    private void openBackends(
            ProcessExecutors executors,
            HandlerRegistry handlers,
            PeerNetwork network,
            LeasedView view,
            WorkerBodyReader bodies) {
        EngineClients engines = closer.register(new EngineClients());
        OwnerSettings ownerSettings = OwnerSettings.builder()
                .announceIntervalMillis(settings.backend().announceMillis())
                .leaseMillis(settings.backend().leaseMillis())
                .ledger(PlacementFactory.ledgerSettings(settings.placement()))
                .build();
        HostRecord record = hostRecord();
        owner = new Owner(record, PlacementFactory.policy(settings.placement()), new Random(), ownerSettings);
        OwnerTable table = new OwnerTable(record, OwnerTableSettings.DEFAULT);
        view.onMembers(() -> table.members(view.members().hosts()));
        OwnerService service = new OwnerService(self, owner, table, view, network, clock);
        service.register(handlers);
        handlers.register(
                RouteChannels.SUMMARY,
                summary -> CompletableFuture.completedFuture(table.accept(summary, clock.nanos())));
        new EngineObserver(owner, engines).register(handlers);
        new OwnerMaintenance(owner, service, engines, clock, events).start(executors.timer());
        SummarySchedule schedule = new SummarySchedule(record, SUMMARY_INTERVAL_MILLIS, SUMMARY_BYTES_PER_SECOND);
        new SummarySender(owner, table, schedule, view, network, clock, metrics).start(executors.timer());
        GrantTracker grants = new GrantTracker(self, view, clock, network, service, table, metrics);
        service.localAudit(grants::audit);
        handlers.register(RouteChannels.AUDIT, request -> CompletableFuture.completedFuture(grants.audit(request)));
        grants.start(executors.timer());
        EngineCancellations cancellations = new EngineCancellations(engines, table, grants, clock, metrics);
        cancellations.start(executors.timer());
        Placer placer = new Placer(self, view, clock, network, service, table, grants, metrics);
        quarantine = new PromptQuarantine(self, view, network, clock, metrics);
        quarantine.register(handlers);
        CompletionGateway gateway =
                new CompletionGateway(self, clock, placer, grants, engines, cancellations, quarantine, events, metrics);
        ServiceGateway services = closer.register(new ServiceGateway(clock, table, control, metrics));
        OrganisationLimitService limits = new OrganisationLimitService(self, view, network, clock, metrics);
        limits.register(handlers);
        limits.start(executors.timer());
        openCallers(view, service, gateway, services, limits, bodies);
    }

    private void openCallers(
            LeasedView view,
            OwnerService service,
            CompletionGateway gateway,
            ServiceGateway services,
            OrganisationLimitService limits,
            WorkerBodyReader bodies) {
        List<String> backendKeys =
                settings.keys().backendKeys().stream().map(Secret::value).toList();
        int keepSeconds = settings.callers().keepSeconds();
        ServiceHandler serviceHandler = new ServiceHandler(self, admission, view, bodies, services, events);
        callerRoutes
                .get("/v1/entry-hosts", new EntryHostsHandler(view, self.region(), keepSeconds))
                .get("/v1/models", new ModelsHandler(admission, view))
                .post(
                        "/v1/completions",
                        new CompletionsHandler(ApiKind.COMPLETIONS, admission, view, bodies, gateway, limits))
                .post(
                        "/v1/chat/completions",
                        new CompletionsHandler(ApiKind.CHAT, admission, view, bodies, gateway, limits))
                .post("/v1/idempotency-keys", new IdempotencyKeysHandler(admission))
                .post("/v1/backend-servers/announce", new AnnounceHandler(backendKeys, bodies, service));
        for (String method : List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")) {
            callerRoutes.add(method, "/v1/services/{service}/*", serviceHandler);
        }
    }

    private void openOperators(LeasedView view, WorkerBodyReader bodies) {
        TicketsHandler tickets = new TicketsHandler(control, bodies);
        QuarantineHandler quarantineHandler = new QuarantineHandler(quarantine, exchange -> {
            throw new IllegalStateException("routed to another path");
        });
        operatorRoutes
                .put("/v1/tickets/{number}", tickets::put)
                .get("/v1/tickets/{number}", tickets::show)
                .get("/v1/tickets", tickets::list)
                .get("/v1/status", new StatusHandler(self, view, admission))
                .get("/v1/events", process.eventsHandler())
                .get("/quarantine", quarantineHandler)
                .put("/quarantine/{service}/{group}", quarantineHandler)
                .delete("/quarantine/{service}/{group}", quarantineHandler)
                .get("/metrics", process.metricsHandler());
    }

    private static RoutingHandler newRoutes() {
        return Handlers.routing()
                .setFallbackHandler(exchange ->
                        JsonResponses.sendRefusal(exchange, Refusal.didNotRun(RefusalReason.NOT_FOUND, "no such path")))
                .setInvalidMethodHandler(exchange -> JsonResponses.sendRefusal(
                        exchange, Refusal.didNotRun(RefusalReason.METHOD_NOT_ALLOWED, "no such method on this path")));
    }

    private HttpListener listen(ListenAddress address, io.undertow.server.HttpHandler handler) {
        HttpLimits limits = new HttpLimits(
                settings.limits().maxBodyBytes(),
                settings.limits().maxHeaderBytes(),
                settings.limits().maxConnections(),
                IDLE_TIMEOUT_MILLIS,
                BODY_TIMEOUT_MILLIS);
        return HttpListener.start(address.ip(), address.port(), limits, handler);
    }

    private HostRecord hostRecord() {
        return new HostRecord(
                self.host(),
                self.incarnation(),
                self.failureDomain(),
                self.region(),
                callers.address(),
                peers.address(settings.addresses().peers().ip()),
                operators.address(),
                leaving.get());
    }

    /** Returns the address for callers. */
    public Address callers() {
        return callers.address();
    }

    /** Returns the address for operators. */
    public Address operators() {
        return operators.address();
    }

    /** Returns the calls to control hosts, for a program that embeds this entry. */
    public ControlCalls control() {
        return control;
    }

    /**
     * Stops gracefully. First reports that this host leaves, so that callers are no longer directed to it and its
     * backend servers get other owners. Continues to serve for as long as callers cache an answer that lists it, then
     * rejects new calls and waits until those in flight end, at most for the longest caller timeout, and until the other
     * requests of callers, backend servers and operators are answered.
     */
    public void stop() throws InterruptedException {
        leaving.set(true);
        events.record(new HostEvent.Stopping(self.host()));
        LOG.infof("entry host %s is leaving", self.host());
        renewer.renew();
        Thread.sleep(Duration.ofSeconds(settings.callers().keepSeconds()).toMillis());
        admission.stopAdmission();
        long deadlineMillis = clock.millis() + settings.callers().maxTimeoutMillis();
        while (admission.inFlight() > 0 && clock.millis() < deadlineMillis) {
            Thread.sleep(STOP_CHECK_MILLIS);
        }
        callers.finishRequests(FINISH_TIMEOUT_MILLIS);
        operators.finishRequests(FINISH_TIMEOUT_MILLIS);
        owner.leave(clock.nanos());
        close();
    }

    @Override
    public void close() {
        closer.close();
    }
}
