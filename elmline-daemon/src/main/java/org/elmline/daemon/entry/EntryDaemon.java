package org.elmline.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.RoutingHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.control.HostRecord;
import org.elmline.daemon.backend.AnnounceHandler;
import org.elmline.daemon.backend.EngineClients;
import org.elmline.daemon.backend.OwnerService;
import org.elmline.daemon.backend.SummaryTable;
import org.elmline.daemon.caller.CompletionsHandler;
import org.elmline.daemon.caller.EntryHostsHandler;
import org.elmline.daemon.caller.Gate;
import org.elmline.daemon.caller.Gateway;
import org.elmline.daemon.caller.ModelsHandler;
import org.elmline.daemon.http.Answers;
import org.elmline.daemon.http.BodyReader;
import org.elmline.daemon.http.HttpLimits;
import org.elmline.daemon.http.HttpListener;
import org.elmline.daemon.openai.ApiKind;
import org.elmline.daemon.operator.OperatorKeys;
import org.elmline.daemon.operator.StatusHandler;
import org.elmline.daemon.operator.TicketsHandler;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.daemon.runtime.Workers;
import org.elmline.daemon.settings.EntrySettings;
import org.elmline.daemon.settings.ListenAddress;
import org.elmline.daemon.settings.Secret;
import org.elmline.wire.tcp.PeerKey;
import org.elmline.wire.tcp.PeerLimits;
import org.elmline.wire.tcp.TcpPeerNetwork;
import org.elmline.wire.tcp.TcpPeerServer;
import org.jboss.logging.Logger;

/** One entry host. */
public final class EntryDaemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
    private static final int BODY_MILLIS = 30_000;
    private static final int IDLE_MILLIS = 60_000;

    private final Closer closer = new Closer();
    private final EntrySettings settings;
    private final MonotonicClock clock = new SystemClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final AtomicBoolean leaving = new AtomicBoolean();
    private HttpListener callers;
    private HttpListener operators;
    private TcpPeerServer peers;
    private HostIdentity self;

    private EntryDaemon(EntrySettings settings) {
        this.settings = settings;
    }

    /** Opens everything and begins to serve; closes what was opened when any of it fails. */
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
        self = new HostIdentity(
                settings.host(),
                Incarnation.of(System.currentTimeMillis()),
                settings.failureDomain(),
                settings.region());
        Workers workers = closer.register(new Workers("entry", settings.limits().maxConcurrentRequests()));
        PeerKey key = new PeerKey(settings.keys().peerKey().value());
        TcpPeerNetwork network = closer.register(new TcpPeerNetwork(
                key, PeerLimits.DEFAULT, workers.connections(), workers.timer(), workers.handlers()));
        SharedView view = new SharedView(clock);
        List<Address> control =
                settings.control().stream().map(each -> each.peers()).toList();
        ControlClient client = new ControlClient(network, clock, workers.timer(), control);
        SummaryTable summaries = new SummaryTable();
        OwnerService owner = new OwnerService(self, view, network, clock, settings.backend(), summaries);
        EngineClients engines = closer.register(new EngineClients());
        Gate gate = new Gate(
                self, view, clock, settings.callers(), settings.limits().maxConcurrentRequests(), metrics);
        Gateway gateway = new Gateway(self, view, clock, network, owner, summaries, engines);
        listen(workers, key, view, client, owner, gate, gateway);
        owner.start(workers.timer());
        LeaseRenewer renewer = new LeaseRenewer(
                client,
                view,
                clock,
                this::record,
                Duration.ofMillis(settings.lease().renewMillis()),
                metrics,
                gate::close);
        renewer.start(workers.timer());
        LOG.infof("entry host %s serves callers at %s", self.host(), callers.address());
    }

    private void listen(
            Workers workers,
            PeerKey key,
            SharedView view,
            ControlClient client,
            OwnerService owner,
            Gate gate,
            Gateway gateway)
            throws IOException {
        org.elmline.wire.tcp.Handlers channels = new org.elmline.wire.tcp.Handlers(workers.handlers());
        owner.register(channels);
        ListenAddress bind = settings.addresses().peers();
        peers = closer.register(TcpPeerServer.start(
                new InetSocketAddress(bind.ip(), bind.port()),
                channels,
                key,
                PeerLimits.DEFAULT,
                workers.connections(),
                workers.timer()));
        BodyReader bodies = new BodyReader(workers.streams());
        callers =
                closer.register(http(settings.addresses().callers(), callerRoutes(view, owner, gate, gateway, bodies)));
        operators = closer.register(http(settings.addresses().operators(), operatorRoutes(view, client, gate, bodies)));
    }

    private HttpHandler callerRoutes(
            SharedView view, OwnerService owner, Gate gate, Gateway gateway, BodyReader bodies) {
        List<String> backendKeys =
                settings.keys().backendKeys().stream().map(Secret::value).toList();
        return routes().get(
                        "/v1/entry-hosts",
                        new EntryHostsHandler(view, settings.callers().keepSeconds()))
                .get("/v1/models", new ModelsHandler(gate, view))
                .post("/v1/completions", new CompletionsHandler(ApiKind.COMPLETIONS, gate, view, bodies, gateway))
                .post("/v1/chat/completions", new CompletionsHandler(ApiKind.CHAT, gate, view, bodies, gateway))
                .post("/v1/backend-servers/announce", new AnnounceHandler(backendKeys, bodies, owner));
    }

    private HttpHandler operatorRoutes(SharedView view, ControlClient client, Gate gate, BodyReader bodies) {
        TicketsHandler tickets = new TicketsHandler(new ControlCalls(client), bodies);
        RoutingHandler routes = routes().put("/v1/tickets/{number}", tickets::put)
                .get("/v1/tickets/{number}", tickets::show)
                .get("/v1/tickets", tickets::list)
                .get("/v1/status", new StatusHandler(self, view, gate));
        return new OperatorKeys(
                settings.keys().operatorKeys().stream().map(Secret::value).toList(), routes);
    }

    private static RoutingHandler routes() {
        return Handlers.routing()
                .setFallbackHandler(exchange ->
                        Answers.refuse(exchange, Refusal.didNotRun(RefusalReason.NOT_FOUND, "no such path")))
                .setInvalidMethodHandler(exchange -> Answers.refuse(
                        exchange, Refusal.didNotRun(RefusalReason.METHOD_NOT_ALLOWED, "no such method on this path")));
    }

    private HttpListener http(ListenAddress address, HttpHandler handler) {
        HttpLimits limits = new HttpLimits(
                settings.limits().maxBodyBytes(),
                settings.limits().maxHeaderBytes(),
                settings.limits().maxConcurrentRequests(),
                IDLE_MILLIS,
                BODY_MILLIS);
        return HttpListener.start(address.ip(), address.port(), limits, handler);
    }

    private HostRecord record() {
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

    /** Where callers connect. */
    public Address callers() {
        return callers.address();
    }

    /** Where operators connect. */
    public Address operators() {
        return operators.address();
    }

    @Override
    public void close() {
        closer.close();
    }
}
