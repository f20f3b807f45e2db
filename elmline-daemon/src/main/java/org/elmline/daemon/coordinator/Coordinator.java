package org.elmline.daemon.coordinator;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.Incarnation;
import org.elmline.core.evacuation.EvacuationChannels;
import org.elmline.core.evacuation.EvacuationProgress;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.core.quarantine.QuarantineChannels;
import org.elmline.core.raft.RaftSettings;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.registry.PendingPoll;
import org.elmline.core.registry.RegistryChannels;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.core.routing.CallerLimits;
import org.elmline.daemon.component.DaggerProcessComponent;
import org.elmline.daemon.component.ProcessComponent;
import org.elmline.daemon.control.ControlStateMachine;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.daemon.node.PeerEndpoint;
import org.elmline.daemon.node.PortRole;
import org.elmline.daemon.node.RegistryPoller;
import org.elmline.daemon.operator.QuarantineHandler;
import org.elmline.daemon.raft.RaftDriver;
import org.elmline.daemon.raft.RaftStatus;
import org.elmline.daemon.settings.TimelineSettings;
import org.elmline.storage.ChecksummedFile;
import org.elmline.storage.OpenResult;
import org.elmline.storage.SystemFiles;

/**
 * One control host for routed calls: opens its data folder, log, registry and ports, connects them and stops them
 * gracefully.
 */
public final class Coordinator implements AutoCloseable {
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(600);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);

    /**
     * Time without contact after which a voter is replaced. A restarted control host is back within this time, so that
     * only one that stays down is replaced.
     */
    private static final Duration VOTER_LOST_TIMEOUT = Duration.ofMillis(3_000);

    /**
     * Longest log command: a routing document has at most 4 MB, the operators' own limit, and the ticket around it
     * needs room.
     */
    private static final int MAX_COMMAND_BYTES = 5 * 1024 * 1024;

    private static final CallerLimits OPERATOR_LIMITS = CallerLimits.DEFAULT.withMaxBodyBytes(MAX_COMMAND_BYTES);

    /** Log size in bytes that triggers a compaction: a sixteenth of the smallest disk. */
    private static final long SNAPSHOT_BYTES = 8L * 1024 * 1024;

    private static final long STATUS_CHECK_MILLIS = 200;

    /**
     * Delay before a restarted host that restored a routing table opens its log; until then it only answers its peers.
     * Entries that lost their routing table serve no callers until a control host answers them, and on a small host
     * opening the log takes more CPU time than answering all of them.
     */
    private static final long LOG_OPEN_DELAY_MILLIS = 200;

    private static final int EVENT_CAPACITY = 1_024;
    private static final long LEADERSHIP_TRANSFER_TIMEOUT_MILLIS = 1_500;

    /** Limit on the time to finish open requests at a stop, and the part of the drain time that it takes at most. */
    private static final long FINISH_TIMEOUT_MILLIS = 2_000;

    private static final int FINISH_DRAIN_DIVISOR = 3;

    private final Closer closer = new Closer();
    private final NodeSettings settings;
    private final CoordinatorProtocol protocol;
    private final Runnable onFailure;
    private final ProcessComponent process;
    private final DecisionLog log;
    private final long epoch = System.currentTimeMillis();
    private final Map<Address, RegistryPoller> pollers = new HashMap<>();
    private volatile RaftDriver driver;
    private PeerEndpoint peers;
    private RequestDrain requests;
    private QuarantineService quarantine;
    private RegistryService registry;
    private EvacuationProvider evacuations;
    private String lastStatus = "";
    private volatile List<Address> configuredControlHosts;

    private Coordinator(NodeSettings settings, CoordinatorProtocol protocol, DecisionLog log, Runnable onFailure) {
        this.settings = settings;
        this.configuredControlHosts = settings.controlPeerAddresses();
        this.protocol = protocol;
        this.log = log;
        this.onFailure = onFailure;
        this.process = DaggerProcessComponent.factory()
                .create(settings.host(), Incarnation.of(epoch), new TimelineSettings(EVENT_CAPACITY));
    }

    /**
     * Opens everything and starts to serve.
     *
     * @param onFailure called when the disk failed or an invariant was broken; the process must end then
     */
    public static Coordinator start(
            NodeSettings settings, CoordinatorProtocol protocol, DecisionLog log, Runnable onFailure)
            throws IOException, InterruptedException {
        Coordinator coordinator = new Coordinator(settings, protocol, log, onFailure);
        try {
            coordinator.open();
            return coordinator;
        } catch (IOException | RuntimeException e) {
            coordinator.close();
            throw e;
        }
    }

    /** Starts answering peers from the restored state before the log is opened, as opening the log takes longer. */
    private void open() throws IOException, InterruptedException {
        ExecutorService handlers = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "handlers");
            thread.setDaemon(true);
            return thread;
        });
        closer.register(handlers::shutdownNow);
        peers = closer.register(new PeerEndpoint(settings, "coordinator", handlers, process.hybridClock()));
        RoutingProvider routingProvider = new RoutingProvider(persistedValue("routing", RoutingText.class));
        quarantine = new QuarantineService(
                process.clock(),
                this::isLeader,
                persistedValue("quarantine", PersistedQuarantine.class),
                process.metrics(),
                log);
        evacuations = settings.followsEvacuations()
                ? EvacuationProvider.of(
                        persistedValue("evacuation", Evacuations.class),
                        System::currentTimeMillis,
                        process.metrics(),
                        log)
                : EvacuationProvider.disabled();
        registry = new RegistryService(
                epoch,
                settings.heartbeatMillis(),
                process.clock(),
                this::controlHostAddresses,
                routingProvider,
                persistedValue("servers", PersistedServers.class),
                quarantine,
                evacuations,
                process.metrics(),
                log);
        registry.start(peers.timer());
        peers.handlers().register(RegistryChannels.FOLLOW, registry::follow);
        peers.handlers()
                .register(
                        QuarantineChannels.REPORT,
                        report -> CompletableFuture.completedFuture(registry.applyEvidence(report)));
        peers.handlers()
                .register(
                        RegistryChannels.FETCH_PACKED,
                        query -> CompletableFuture.completedFuture(routingProvider.packed()));
        peers.handlers().register(EvacuationChannels.FETCH, query -> evacuations.fetch());
        if (routingProvider.hasRestored()) {
            Thread.sleep(LOG_OPEN_DELAY_MILLIS);
        }
        ControlStateMachine machine = new ControlStateMachine();
        openLog(machine);
        RoutingStore store = new RoutingStore(driver, machine);
        routingProvider.attachStore(store);
        // The applying thread holds the state machine's lock here, so the polls are answered on the timer thread.
        machine.onApplied((command, result) -> peers.timer().execute(registry::onRoutingChanged));
        peers.timer().execute(registry::onRoutingChanged);
        EvacuationLog evacuationLog = new EvacuationLog(driver, machine, System::currentTimeMillis);
        evacuations.attachLog(evacuationLog);
        serve(store, evacuationLog);
    }

    private <T> PersistedValue<T> persistedValue(String name, Class<T> type) {
        ChecksummedFile file =
                new ChecksummedFile(new SystemFiles(), settings.dataFolder().resolve(name));
        return closer.register(new PersistedValue<>(name, type, file, log));
    }

    private void openLog(ControlStateMachine machine) throws IOException, InterruptedException {
        OpenResult.Opened opened = new CoordinatorDataFolder(settings, log).open();
        driver = RaftDriver.builder()
                .folder(opened.folder(), opened.restored())
                .machine(machine)
                .network(peers.network(), peers.handlers())
                .addresses(settings::peerAddressOf, this::joinAddresses)
                .clock(process.clock())
                .metrics(process.metrics())
                .settings(RaftSettings.builder()
                        .electionTimeout(ELECTION_TIMEOUT)
                        .heartbeat(HEARTBEAT_INTERVAL)
                        .maxCommandBytes(MAX_COMMAND_BYTES)
                        .build())
                .snapshotBytes(SNAPSHOT_BYTES)
                .voterLostTimeout(VOTER_LOST_TIMEOUT)
                .onFailure(onFailure)
                .start();
        closer.register(driver);
    }

    private void serve(RoutingStore store, EvacuationLog evacuationLog) throws IOException {
        LeaderClient leader = new LeaderClient(this::leaderAddress, peers.network(), peers.timer(), process.clock());
        RoutingService routing = new RoutingService(store, leader, log);
        routing.register(peers.handlers());
        EvacuationService evacuationService = new EvacuationService(
                settings.host(),
                settings.evacuableDomains(),
                evacuationLog,
                evacuations,
                registry::evacuationFollowers,
                leader,
                process.clock(),
                log);
        evacuationService.register(peers.handlers());
        peers.timer().scheduleWithFixedDelay(this::checkStatus, 0, STATUS_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        HttpPorts ports = closer.register(new HttpPorts(process.clock(), process.metrics()));
        HttpHandler operators =
                new QuarantineHandler(quarantine, protocol.operatorHandler(routing, registry, evacuationService));
        ports.applyLimits(OPERATOR_LIMITS);
        requests = new RequestDrain(ports, operators, process.clock(), log);
        ports.addPort(PortRole.OPERATORS, settings.operators(), requests.handler());
        if (settings.metricsPort() > 0) {
            ports.addPort(
                    PortRole.METRICS, new Address(settings.ip(), settings.metricsPort()), process.metricsHandler());
        }
        ports.start();
        registry.onPortOpened();
        log.line("started")
                .with("replica", driver.status().self())
                .with("members", driver.status().membership())
                .with("firstStart", settings.firstStart())
                .write();
    }

    private boolean isLeader() {
        RaftDriver running = driver;
        return running != null && running.isLeader();
    }

    /** Peer address of the leader, null when none is known. */
    private Address leaderAddress() {
        ReplicaId leader = driver.status().leader();
        return leader == null ? null : settings.peerAddressOf(leader.host());
    }

    /** Peer addresses to which a new replica sends its join requests. */
    private List<Address> joinAddresses() {
        Set<Address> all = new LinkedHashSet<>(configuredControlHosts);
        RaftDriver running = driver;
        if (running != null) {
            running.status().membership().all().forEach(each -> all.add(settings.peerAddressOf(each.host())));
        }
        all.remove(settings.peerAddress());
        return List.copyOf(all);
    }

    /**
     * Peer addresses of the control hosts in the log's membership; those of the settings while the membership is
     * unknown.
     */
    private List<Address> controlHostAddresses() {
        List<Address> all = new ArrayList<>();
        RaftDriver running = driver;
        if (running == null) {
            return settings.controlPeerAddresses();
        }
        running.status().membership().all().forEach(each -> all.add(settings.peerAddressOf(each.host())));
        return all.isEmpty() ? settings.controlPeerAddresses() : all;
    }

    private void checkStatus() {
        try {
            RaftStatus status = driver.status();
            String current = status.role() + " " + status.term() + " " + status.leader() + " " + status.membership();
            if (!current.equals(lastStatus)) {
                lastStatus = current;
                log.line("standing")
                        .with("raftRole", status.role())
                        .with("term", status.term())
                        .with("leader", status.leader())
                        .with("members", status.membership())
                        .with("committed", status.committedIndex())
                        .write();
            }
            updatePollers();
        } catch (RuntimeException e) {
            log.line("status check failed").with("why", e).write();
        }
    }

    /** Starts polling the registries of control hosts that were added and stops polling those that were removed. */
    private synchronized void updatePollers() {
        Set<Address> targets = new LinkedHashSet<>(controlHostAddresses());
        targets.remove(settings.peerAddress());
        pollers.entrySet().removeIf(each -> {
            boolean removed = !targets.contains(each.getKey());
            if (removed) {
                each.getValue().close();
                peers.network().disconnect(each.getKey());
            }
            return removed;
        });
        for (Address each : targets) {
            if (!pollers.containsKey(each)) {
                RegistryPoller poller = new RegistryPoller(
                        peers.network(),
                        each,
                        settings.host(),
                        () -> null,
                        () -> 0,
                        () -> PendingPoll.HOLD_MILLIS,
                        () -> false,
                        () -> EvacuationProgress.NOT_FOLLOWED,
                        registry::merge,
                        Runnable::run,
                        peers.timer());
                pollers.put(each, poller);
                poller.start();
            }
        }
    }

    /** Applies changed settings to this running process: the control hosts to join; all other changes are ignored. */
    public void reload(NodeSettings next) {
        configuredControlHosts = next.controlPeerAddresses();
    }

    /**
     * Finishes the open requests and refuses new ones, transfers leadership, then closes. Peers are served until the
     * leadership is transferred.
     */
    public void stop() throws InterruptedException {
        log.line("stopping").with("leads", driver.isLeader()).write();
        requests.finishOpenRequests(Math.min(FINISH_TIMEOUT_MILLIS, settings.drainMillis() / FINISH_DRAIN_DIVISOR));
        if (driver.isLeader()) {
            driver.transferLeadership()
                    .completeOnTimeout(false, LEADERSHIP_TRANSFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .join();
        }
        requests.closeConnections();
        close();
    }

    @Override
    public void close() {
        pollers.values().forEach(RegistryPoller::close);
        closer.close();
    }
}
