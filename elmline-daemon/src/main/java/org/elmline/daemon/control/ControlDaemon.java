package org.elmline.daemon.control;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Handlers;
import io.undertow.server.RoutingHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.ControlChannels;
import org.elmline.core.control.ControlLimits;
import org.elmline.core.control.LeaseSettings;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.raft.RaftSettings;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HostEvent;
import org.elmline.daemon.backend.EngineClients;
import org.elmline.daemon.component.DaggerProcessComponent;
import org.elmline.daemon.component.ProcessComponent;
import org.elmline.daemon.http.HttpLimits;
import org.elmline.daemon.http.HttpListener;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.operator.OperatorKeyHandler;
import org.elmline.daemon.raft.RaftDriver;
import org.elmline.daemon.runtime.ProcessExecutors;
import org.elmline.daemon.settings.ControlSettings;
import org.elmline.daemon.settings.ListenAddress;
import org.elmline.daemon.settings.Secret;
import org.elmline.storage.OpenResult;
import org.elmline.wire.tcp.PeerHandlers;
import org.elmline.wire.tcp.PeerKey;
import org.elmline.wire.tcp.PeerLimits;
import org.elmline.wire.tcp.TcpPeerNetwork;
import org.elmline.wire.tcp.TcpPeerServer;
import org.jboss.logging.Logger;

/** One control host: opens its data folder, log, services and ports, connects them and stops them gracefully. */
public final class ControlDaemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlDaemon.class);
    private static final int MAX_BLOCKING_TASKS = 16;
    private static final long LEASE_EXPIRY_GRACE_MILLIS = 500;

    /** Limit on the time to answer the operators' requests that are open when a stop begins. */
    private static final long FINISH_TIMEOUT_MILLIS = 2_000;

    /** Limit on the time to write the last refusals, in which nothing else is open. */
    private static final long WRITE_TIMEOUT_MILLIS = 200;

    private final Closer closer = new Closer();
    private final ControlSettings settings;
    private final ProcessComponent process;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final Incarnation incarnation = Incarnation.of(System.currentTimeMillis());
    private final EventRing events;
    private final Runnable onFailure;
    private TcpPeerServer peerServer;
    private HttpListener operators;
    private RaftDriver driver;
    private RaftCommandLog log;

    private ControlDaemon(ControlSettings settings, Runnable onFailure) {
        this.settings = settings;
        this.onFailure = onFailure;
        this.process = DaggerProcessComponent.factory().create(settings.host(), incarnation, settings.timeline());
        this.clock = process.clock();
        this.metrics = process.metrics();
        this.events = process.events();
    }

    /**
     * Opens everything and starts to serve; on failure, closes what was opened.
     *
     * @param onFailure called when the disk failed or an invariant was broken; the process must end then
     */
    public static ControlDaemon start(ControlSettings settings, Runnable onFailure) throws IOException {
        ControlDaemon daemon = new ControlDaemon(settings, onFailure);
        try {
            daemon.open();
            return daemon;
        } catch (IOException | RuntimeException e) {
            daemon.close();
            throw e;
        }
    }

    private void open() throws IOException {
        OpenResult.Opened opened = ControlDataFolder.open(settings.dataFolder(), settings.host());
        ProcessExecutors executors = closer.register(new ProcessExecutors("control", MAX_BLOCKING_TASKS));
        PeerHandlers handlers = new PeerHandlers(executors.handlers());
        PeerKey key = new PeerKey(settings.keys().peerKey().value());
        ListenAddress bind = settings.addresses().peers();
        peerServer = closer.register(TcpPeerServer.start(
                new InetSocketAddress(bind.ip(), bind.port()),
                handlers,
                key,
                PeerLimits.DEFAULT,
                executors.channelGroup(),
                executors.timer(),
                process.hybridClock()));
        TcpPeerNetwork network = closer.register(new TcpPeerNetwork(
                key,
                PeerLimits.DEFAULT,
                executors.channelGroup(),
                executors.timer(),
                executors.handlers(),
                process.hybridClock()));
        ControlStateMachine machine = new ControlStateMachine();
        Map<HostId, Address> peers = new LinkedHashMap<>();
        settings.control().forEach(each -> peers.put(each.host(), each.peers()));
        driver = RaftDriver.builder()
                .folder(opened.folder(), opened.restored())
                .machine(machine)
                .network(network, handlers)
                .addresses(peers::get, () -> List.copyOf(peers.values()))
                .clock(clock)
                .metrics(metrics)
                .settings(raftSettings())
                .snapshotEntries(settings.raft().snapshotEntries())
                .onFailure(this::onReplicaFailure)
                .start();
        log = closer.register(new RaftCommandLog(driver, settings.control()));
        startServices(executors, handlers, network, machine);
        operators = closer.register(startOperatorListener());
        events.record(new HostEvent.Started(settings.host(), incarnation, "control"));
        LOG.infof("control host %s serves peers at %s", settings.host(), peers());
    }

    private RaftSettings raftSettings() {
        return RaftSettings.builder()
                .electionTimeout(Duration.ofMillis(settings.raft().electionMillis()))
                .heartbeat(Duration.ofMillis(settings.raft().heartbeatMillis()))
                .build();
    }

    private void startServices(
            ProcessExecutors executors, HandlerRegistry handlers, PeerNetwork network, ControlStateMachine machine) {
        LeaseSettings leases = new LeaseSettings(settings.lease().leaseMillis(), LEASE_EXPIRY_GRACE_MILLIS);
        LeadershipMonitor leadership =
                new LeadershipMonitor(settings.host(), events, log, machine, clock, leases, controlLimits());
        LeaseService leaseService = new LeaseService(log, leadership, clock, metrics);
        TicketEventRecorder ticketEvents = new TicketEventRecorder(events, machine, leadership, clock);
        ticketEvents.start(executors.timer());
        TicketService tickets = new TicketService(log, machine, leadership, clock, ticketEvents);
        ClaimService claims = new ClaimService(log, leadership::commandTimeMillis, metrics);
        handlers.register(ControlChannels.LEASE_RENEW, leaseService::renew);
        handlers.register(ControlChannels.TICKET_SUBMIT, tickets::submit);
        handlers.register(ControlChannels.TICKET_READ, tickets::read);
        handlers.register(ControlChannels.TICKET_LIST, tickets::list);
        handlers.register(ControlChannels.CLAIM_BEGIN, claims::begin);
        handlers.register(ControlChannels.CLAIM_FINISH, claims::finish);
        leadership.start(executors.timer());
        EngineClients engines = closer.register(new EngineClients());
        Duration leaderLease = Duration.ofMillis(settings.raft().electionMillis());
        new EngineOrderService(leadership, log, machine, network, engines, clock, leaderLease, metrics)
                .start(executors.timer());
    }

    private ControlLimits controlLimits() {
        ControlLimits defaults = ControlLimits.DEFAULT;
        return new ControlLimits(
                settings.retention().tickets(),
                defaults.claims(),
                defaults.claimsPerOrganisation(),
                settings.retention().claimMillis(),
                defaults.recordedBodyBytes(),
                defaults.endedHosts());
    }

    private HttpListener startOperatorListener() {
        RoutingHandler routes = Handlers.routing()
                .get("/v1/status", exchange -> JsonResponses.send(exchange, status()))
                .get("/v1/events", process.eventsHandler())
                .get("/metrics", process.metricsHandler());
        List<String> keys =
                settings.keys().operatorKeys().stream().map(Secret::value).toList();
        ListenAddress bind = settings.addresses().operators();
        return HttpListener.start(bind.ip(), bind.port(), HttpLimits.DEFAULT, new OperatorKeyHandler(keys, routes));
    }

    /** Returns this control host's status, for operators. */
    public ControlStatus status() {
        return ControlStatus.of(settings.host(), driver.status(), log.leadershipStatus());
    }

    private void onReplicaFailure() {
        LOG.errorf("control host %s stops: its replica failed", settings.host());
        onFailure.run();
    }

    /** Returns the address for other elmline processes. */
    public Address peers() {
        return peerServer.address(settings.addresses().peers().ip());
    }

    /** Returns the address for operators. */
    public Address operators() {
        return operators.address();
    }

    /**
     * Answers the open requests of operators and refuses new ones, transfers leadership, then closes. Peers are served
     * until the leadership is transferred.
     */
    public void stop() throws InterruptedException {
        events.record(new HostEvent.Stopping(settings.host()));
        LOG.infof("control host %s is stopping", settings.host());
        operators.finishOpenRequests(FINISH_TIMEOUT_MILLIS);
        log.transferLeadership();
        operators.finishRequests(WRITE_TIMEOUT_MILLIS);
        close();
    }

    @Override
    public void close() {
        closer.close();
    }
}
