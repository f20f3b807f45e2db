package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.StatusCodes;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Closer;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.dispatch.DispatchChannels.Acknowledgement;
import org.elmline.core.dispatch.DispatchChannels.QueuedDecision;
import org.elmline.core.memory.MemoryAccount;
import org.elmline.core.memory.UnansweredBytes;
import org.elmline.core.path.RelayChoice;
import org.elmline.core.registry.CallerDirectory;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.routing.CallerLimits;
import org.elmline.core.routing.RoutingFormat;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.component.DaggerProcessComponent;
import org.elmline.daemon.component.ProcessComponent;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.daemon.node.PeerEndpoint;
import org.elmline.daemon.node.PortRole;
import org.elmline.daemon.settings.TimelineSettings;
import org.elmline.wire.tcp.PeerKey;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * An entry that forwards calls to backend servers: opens its ports, assembles its parts and stops gracefully. Calls are
 * handled on one I/O thread; {@link #stop} blocks and must run on another one.
 */
public final class EntryGateway implements AutoCloseable {
    private static final int EVENT_CAPACITY = 1_024;

    /** Delay of an update of the deployment, in which further changes are collected. */
    private static final long CHANGE_DELAY_MILLIS = 15;

    private final Closer closer = new Closer();
    private final CountDownLatch assembled = new CountDownLatch(1);
    private final NodeSettings settings;
    private final CallProtocol protocol;
    private final DirectoryProtocol directory;
    private final RoutingFormat routingFormat;
    private final BackendDialer dialer;
    private final DecisionLog log;
    private final ProcessComponent process;
    private final long incarnation = System.currentTimeMillis();
    private final GracefulShutdown shutdown;
    private final SplittableRandom random = new SplittableRandom();
    private final OverloadMonitor overload;
    private final CallerDirectory callerDirectory;
    private HttpPorts ports;
    private PeerEndpoint peers;
    private XnioIoThread thread;
    private DeploymentFollower deployment;
    private ColdServerTracker coldServers;
    private ColdSendLimit coldSends;
    private XnioExecutor.Key coldEndTimer;
    private DispatchService dispatchers;
    private DispatchClient dispatchClient;
    private OpenCalls openCalls;
    private MemoryGuard memory;
    private HeldCalls heldCalls;
    private QuarantineClient quarantine;
    private CallHandler callHandler;
    private RelayHandler relayHandler;
    private CallerLimits callerLimits;
    private boolean changePending;

    private EntryGateway(
            NodeSettings settings,
            CallProtocol protocol,
            DirectoryProtocol directory,
            RoutingFormat routingFormat,
            BackendDialer dialer,
            DecisionLog log) {
        this.settings = settings;
        this.protocol = protocol;
        this.directory = directory;
        this.routingFormat = routingFormat;
        this.dialer = dialer;
        this.log = log;
        this.process = DaggerProcessComponent.factory()
                .create(settings.host(), Incarnation.of(incarnation), new TimelineSettings(EVENT_CAPACITY));
        this.shutdown = new GracefulShutdown(process.clock(), settings.drainMillis());
        this.overload = new OverloadMonitor(process.clock(), log, process.metrics());
        this.callerDirectory = new CallerDirectory(settings.directoryEntries());
    }

    /** Opens the ports and starts to serve; on failure, closes what was opened. */
    public static EntryGateway start(
            NodeSettings settings,
            CallProtocol protocol,
            DirectoryProtocol directory,
            RoutingFormat routingFormat,
            DecisionLog log)
            throws IOException {
        return start(settings, protocol, directory, routingFormat, BackendDialer.TCP, log);
    }

    /** The same, with other connections to backend servers than those over TCP. */
    public static EntryGateway start(
            NodeSettings settings,
            CallProtocol protocol,
            DirectoryProtocol directory,
            RoutingFormat routingFormat,
            BackendDialer dialer,
            DecisionLog log)
            throws IOException {
        EntryGateway gateway = new EntryGateway(settings, protocol, directory, routingFormat, dialer, log);
        try {
            gateway.open();
            return gateway;
        } catch (IOException | RuntimeException e) {
            gateway.close();
            throw e;
        }
    }

    private void open() throws IOException {
        ports = closer.register(new HttpPorts(process.clock(), process.metrics()));
        thread = ports.worker().getIoThread();
        peers = closer.register(new PeerEndpoint(settings, "gateway", thread, process.hybridClock()));
        // Following the control hosts starts before the ports open: their answers take longer than opening the ports.
        thread.execute(this::assembleOrEndProcess);
        ports.addPort(PortRole.CALLERS, settings.callers(), new HttpContinueReadHandler(this::handleCall))
                .addPort(PortRole.READY, settings.ready(), this::handleReady);
        if (settings.relayPort() > 0) {
            ports.addPort(PortRole.RELAY, new Address(settings.ip(), settings.relayPort()), this::handleRelayed);
        }
        if (settings.directory() != null) {
            ports.addPort(
                    PortRole.DIRECTORY,
                    settings.directory(),
                    directory.directoryHandler(this::callerAddresses, settings.directoryKeepSeconds()));
        }
        if (settings.metricsPort() > 0) {
            ports.addPort(
                    PortRole.METRICS, new Address(settings.ip(), settings.metricsPort()), process.metricsHandler());
        }
        ports.start();
    }

    /**
     * Passes on what the thread's loop would only log. A process without its parts would keep its ports open, and would
     * neither answer nor stop before the drain time ends.
     */
    private void assembleOrEndProcess() {
        try {
            assemble();
            assembled.countDown();
        } catch (RuntimeException | Error e) {
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
        }
    }

    /** Creates the parts of the gateway. Runs on the I/O thread, which owns them all. */
    private void assemble() {
        EvacuationView evacuations =
                new EvacuationView(settings.followsEvacuations(), System::currentTimeMillis, log, process.metrics());
        deployment = new DeploymentFollower(
                settings,
                peers,
                thread,
                routingFormat,
                process.clock(),
                log,
                this::entryRecord,
                this::updateDeployment,
                this::scheduleDeploymentUpdate,
                (control, start, news) -> quarantine.onAnswer(control, start, news),
                evacuations);
        dispatchers = newDispatchService();
        BackendGate gate = newBackendGate(evacuations);
        UnansweredBytes unanswered = new UnansweredBytes(settings.memory().serverBoundBytes(maxHeapBytes()));
        dispatchClient = newDispatchClient(
                new OverloadedServers(unanswered, deployment::servers, gate::restrictedServers)::avoidedBy);
        new DispatchTicker(thread, dispatchers);
        openCalls = newOpenCalls();
        memory = newMemoryGuard();
        BackendConnectionPool connections =
                new BackendConnectionPool(dialer, thread, ports.buffers(), process.clock(), process.metrics());
        DirectLinks directLinks =
                new DirectLinks(connections, deployment::server, process.clock(), log, process.metrics());
        PathCheck pathCheck = new PathCheck(connections, deployment::servers, deployment::server, directLinks);
        heldCalls = new HeldCalls(thread);
        quarantine = newQuarantineClient(new CrashCheck(connections, pathCheck, thread));
        PeerKey peerKey = new PeerKey(settings.peerKey());
        GatewayContext context = new GatewayContext(
                settings,
                incarnation,
                protocol,
                deployment,
                dispatchClient,
                dispatchers.observedLimits(),
                new BackendAccess(relayedLinks(directLinks, connections), protocol, gate, peerKey, unanswered),
                quarantine,
                heldCalls,
                thread,
                process.clock(),
                log,
                new CallMetrics(process.metrics()),
                new AttemptIdGenerator(settings.host(), incarnation),
                openCalls,
                coldSends,
                memory,
                shutdown);
        callHandler = new CallHandler(context);
        relayHandler = newRelayHandler(new BackendAccess(directLinks, protocol, gate, peerKey, unanswered), pathCheck);
        dispatchClient.register(peers.handlers());
        startCountingEvacuated(evacuations);
        deployment.start();
        if (settings.directoryEntries() > 0) {
            overload.start(thread);
        }
        log.line("started").with("incarnation", incarnation).write();
    }

    private OpenCalls newOpenCalls() {
        OpenCalls calls = new OpenCalls(thread, log);
        process.metrics().gauge("calls.open", () -> calls::size);
        process.metrics().gauge("requests.open", () -> ports.openRequests()::size);
        return calls;
    }

    private BackendGate newBackendGate(EvacuationView evacuations) {
        return new BackendGate(
                deployment::server,
                deployment::usableServer,
                dispatchers.observedLimits(),
                newEvacuationGate(evacuations),
                process.clock(),
                log,
                process.metrics());
    }

    private void startCountingEvacuated(EvacuationView evacuations) {
        if (evacuations.isFollowed()) {
            new EvacuatedCallCounter(
                    evacuations,
                    dispatchClient::countOpen,
                    each -> !evacuations.allows(deployment.server(each)),
                    thread);
        }
    }

    private EvacuationGate newEvacuationGate(EvacuationView evacuations) {
        if (!evacuations.isFollowed()) {
            return EvacuationGate.notFollowed(evacuations, process.clock(), process.metrics());
        }
        SuspensionGuard suspension = new SuspensionGuard(
                thread,
                process.clock(),
                System::currentTimeMillis,
                new EvacuationRefresh(peers.network(), deployment)::start,
                log);
        return new EvacuationGate(
                evacuations, deployment::isTableOutdated, suspension, process.clock(), process.metrics());
    }

    /** Creates the dispatchers of this entry, and what it knows of cold servers. */
    private DispatchService newDispatchService() {
        coldServers = new ColdServerTracker(
                deployment.coldEnds(), deployment::isConfirmed, process.clock(), log, process.metrics());
        coldSends = new ColdSendLimit(settings.host(), process.clock(), log);
        return new DispatchService(
                settings.host(),
                settings.retries().retryLimit(),
                settings.admission(),
                process.clock(),
                log,
                coldServers,
                this::sendDecision);
    }

    private static long maxHeapBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    private MemoryGuard newMemoryGuard() {
        MemoryAccount account = new MemoryAccount(settings.memory().heldBoundBytes(maxHeapBytes()));
        log.line("memory bound")
                .with("bytes", account.boundBytes())
                .with("maxHeap", maxHeapBytes())
                .write();
        return new MemoryGuard(account, thread, process.clock(), log, process.metrics());
    }

    private DispatchClient newDispatchClient(Function<DispatchCall, List<BackendServerId>> avoidedServers) {
        return new DispatchClient(
                settings,
                incarnation,
                peers.network(),
                new DispatcherDirectory(deployment::entries, deployment::servers, process.clock()),
                avoidedServers,
                dispatchers,
                thread,
                process.clock(),
                log);
    }

    /** @param access with links to the servers themselves */
    private RelayHandler newRelayHandler(BackendAccess access, PathCheck pathCheck) {
        return new RelayHandler(
                access,
                pathCheck,
                new RelayedAnswerObservers(quarantine, deployment::server, process.clock()),
                openCalls,
                shutdown,
                memory,
                log,
                process.metrics());
    }

    private QuarantineClient newQuarantineClient(CrashCheck crashCheck) {
        return new QuarantineClient(
                settings.host(),
                peers.network(),
                deployment,
                crashCheck,
                this::onQuarantineChanged,
                thread,
                process.clock(),
                log,
                process.metrics());
    }

    /** Links that lead through other entries too, where the settings give a port for that. */
    private ServerLinks relayedLinks(DirectLinks direct, BackendConnectionPool connections) {
        if (settings.relayPort() == 0) {
            return direct;
        }
        return new RelayedLinks(
                direct,
                connections,
                deployment::entries,
                new RelayChoice(settings.host(), random),
                settings.relayPort(),
                process.clock(),
                process.metrics());
    }

    private void handleCall(HttpServerExchange exchange) {
        callHandler.handleRequest(exchange);
    }

    private void handleRelayed(HttpServerExchange exchange) {
        relayHandler.handleRequest(exchange);
    }

    private void handleReady(HttpServerExchange exchange) {
        exchange.setStatusCode(isServing() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
    }

    private boolean isServing() {
        return deployment != null && deployment.table().isPresent() && !shutdown.isStopping();
    }

    /**
     * The addresses for callers. Entries serve this directory because every failure domain has several of them. Served
     * by the one control host of a domain, each look-up would wait for its time-out while that host is frozen.
     */
    private List<Address> callerAddresses(Region region, FailureDomain domain) {
        if (deployment == null) {
            return List.of();
        }
        List<EntryRecord> liveEntries = new ArrayList<>(deployment.entries());
        if (shutdown.isStopping()) {
            // The control hosts may not have received the record that says so yet.
            liveEntries.removeIf(each -> each.host().equals(settings.host()));
        }
        return callerDirectory.addresses(liveEntries, region, domain, random);
    }

    private EntryRecord entryRecord() {
        return new EntryRecord(
                settings.host(),
                incarnation,
                settings.callers(),
                settings.peerAddress(),
                settings.failureDomain(),
                settings.region(),
                isServing(),
                overload.isOverloaded());
    }

    /** Schedules one update for several changes: each control host sends the changes that one event causes. */
    private void scheduleDeploymentUpdate() {
        if (!changePending) {
            changePending = true;
            thread.executeAfter(this::updateDeployment, CHANGE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onQuarantineChanged() {
        openCalls.all().forEach(OpenCall::checkQuarantine);
        heldCalls.retryAll();
    }

    private void updateDeployment() {
        changePending = false;
        deployment.table().ifPresent(table -> {
            if (!table.limits().sameAs(callerLimits)) {
                callerLimits = table.limits();
                ports.applyLimits(callerLimits);
            }
            updateColdServers(table);
            dispatchers.update(table, deployment.usableServers(), deployment.entries(), deployment.hasAllEntries());
            dispatchClient.onDeploymentChanged();
            callHandler.onDeploymentChanged();
        });
    }

    private void updateColdServers(RoutingTable table) {
        coldServers.update(table, deployment.usableServers(), deployment.entries());
        coldSends.update(table.services(), coldServers);
        scheduleColdEnd();
    }

    private void scheduleColdEnd() {
        if (coldEndTimer != null) {
            coldEndTimer.remove();
        }
        coldServers.millisToNextEnd().ifPresent(millis -> {
            coldEndTimer = thread.executeAfter(this::recordColdEnds, millis, TimeUnit.MILLISECONDS);
        });
    }

    private void recordColdEnds() {
        coldServers.recordEnds();
        scheduleColdEnd();
    }

    /** Sends the decision on a waiting call to its entry, and releases the place if the call is not pending there. */
    private void sendDecision(HostId host, DispatchAnswer answer) {
        if (host.equals(settings.host())) {
            releaseIfUnknown(answer, dispatchClient.onDecision(host, answer));
            return;
        }
        peers.network()
                .call(
                        settings.peerAddressOf(host),
                        DispatchChannels.DECIDED,
                        new QueuedDecision(settings.host(), answer),
                        ReportQueue.SEND_TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<Acknowledgement> acknowledgement) {
                        releaseIfUnknown(answer, acknowledgement.value());
                    }
                });
    }

    private void releaseIfUnknown(DispatchAnswer answer, Acknowledgement acknowledgement) {
        if (!acknowledgement.known()) {
            dispatchers.releasePlace(new AttemptReport(answer.attempt(), AttemptEnd.CANCELLED));
        }
    }

    /** Applies changed settings to this running process: follows new control hosts, and ignores all other changes. */
    public void reload(NodeSettings next) {
        thread.execute(() -> deployment.followAll(next.controlPeerAddresses()));
    }

    /** Leaves the directory, finishes the calls in flight within the drain time, then closes. */
    public void stop() throws InterruptedException {
        if (assembled.await(settings.drainMillis(), TimeUnit.MILLISECONDS)) {
            new PlannedStop(shutdown, openCalls, ports, protocol::read, callHandler::onStopping, thread, log).run();
        }
        close();
    }

    @Override
    public void close() {
        if (deployment != null) {
            deployment.close();
        }
        closer.close();
    }
}
