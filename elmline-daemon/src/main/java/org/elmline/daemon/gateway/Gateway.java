package org.elmline.daemon.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Closer;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.dispatch.DispatchChannels.Acknowledgement;
import org.elmline.core.dispatch.DispatchChannels.QueuedDecision;
import org.elmline.core.registry.CallerDirectory;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.routing.CallerLimits;
import org.elmline.core.routing.RoutingFormat;
import org.elmline.daemon.component.DaggerProcessComponent;
import org.elmline.daemon.component.ProcessComponent;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.HttpPorts;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.daemon.node.PeerNode;
import org.elmline.daemon.settings.TimelineSettings;
import org.xnio.XnioIoThread;

/** One entry that passes calls through: everything it opens, how it is put together, and its graceful stop. */
public final class Gateway implements AutoCloseable {
    private static final int READY = 200;
    private static final int NOT_READY = 503;
    private static final int EVENTS = 1_024;

    private static final long STOP_LOOK_MILLIS = 50;

    /** Time for which news are gathered. */
    private static final long CHANGE_MILLIS = 15;

    private final Closer closer = new Closer();
    private final NodeSettings settings;
    private final CallProtocol protocol;
    private final DirectoryProtocol directory;
    private final RoutingFormat format;
    private final DecisionLog log;
    private final ProcessComponent process;
    private final long incarnation = System.currentTimeMillis();
    private final StopPlan stop;
    private final SplittableRandom random = new SplittableRandom();
    private HttpPorts ports;
    private PeerNode peers;
    private XnioIoThread thread;
    private Fleet fleet;
    private DispatchService dispatchers;
    private DispatchClient dispatch;
    private OpenCalls open;
    private CallHandler calls;
    private CallerLimits limits;
    private boolean changePending;

    private Gateway(
            NodeSettings settings,
            CallProtocol protocol,
            DirectoryProtocol directory,
            RoutingFormat format,
            DecisionLog log) {
        this.settings = settings;
        this.protocol = protocol;
        this.directory = directory;
        this.format = format;
        this.log = log;
        this.process = DaggerProcessComponent.factory()
                .create(settings.host(), Incarnation.of(incarnation), new TimelineSettings(EVENTS));
        this.stop = new StopPlan(process.clock(), settings.drainMillis());
    }

    /** Opens everything and begins to serve. */
    public static Gateway start(
            NodeSettings settings,
            CallProtocol protocol,
            DirectoryProtocol directory,
            RoutingFormat format,
            DecisionLog log)
            throws IOException {
        Gateway gateway = new Gateway(settings, protocol, directory, format, log);
        try {
            gateway.open();
            return gateway;
        } catch (IOException | RuntimeException e) {
            gateway.close();
            throw e;
        }
    }

    private void open() throws IOException {
        ports = closer.register(new HttpPorts());
        thread = ports.worker().getIoThread();
        peers = closer.register(new PeerNode(settings, "gateway", thread, process.hybridClock()));
        // The control hosts are asked before the ports open: their answers take longer than opening them.
        thread.execute(this::assemble);
        ports.with(settings.callers(), new HttpContinueReadHandler(this::call)).with(settings.ready(), this::ready);
        if (settings.directory() != null) {
            ports.with(settings.directory(), directory.directory(this::entries, settings.directoryKeepSeconds()));
        }
        if (settings.metricsPort() > 0) {
            ports.with(new Address(settings.ip(), settings.metricsPort()), process.metricsHandler());
        }
        ports.start();
    }

    /** On the I/O thread, to which all of it belongs. */
    private void assemble() {
        fleet = new Fleet(
                settings,
                peers,
                thread,
                format,
                process.clock(),
                log,
                this::record,
                this::fleetChanged,
                this::fleetChangedSoon);
        dispatchers =
                new DispatchService(settings.host(), settings.retries().limit(), process.clock(), log, this::tell);
        dispatch = new DispatchClient(
                settings,
                incarnation,
                peers.network(),
                new DispatcherDirectory(fleet::entries, fleet::servers, process.clock()),
                dispatchers,
                thread,
                process.clock(),
                log);
        new QueueTicks(thread, dispatchers);
        open = new OpenCalls(thread);
        BackendConnections connections =
                new BackendConnections(thread, ports.buffers(), process.clock(), process.metrics());
        GatewayParts parts = new GatewayParts(
                settings,
                incarnation,
                protocol,
                fleet,
                dispatch,
                dispatchers.limits(),
                connections,
                thread,
                process.clock(),
                log,
                new CallMetrics(process.metrics()),
                new CallIds(settings.host(), incarnation),
                open);
        calls = new CallHandler(parts, stop);
        dispatch.register(peers.handlers());
        fleet.start();
        log.line("started").with("incarnation", incarnation).write();
    }

    private void call(HttpServerExchange exchange) {
        calls.handleRequest(exchange);
    }

    private void ready(HttpServerExchange exchange) {
        exchange.setStatusCode(serving() ? READY : NOT_READY);
    }

    private boolean serving() {
        return fleet != null && fleet.table().isPresent() && !stop.stopping();
    }

    /**
     * Where callers connect, asked of entries as every failure domain has several of them. Asked of the one control host
     * of a domain, each look-up would wait for its time-out while that is frozen.
     */
    private List<Address> entries(Region region, FailureDomain domain) {
        if (fleet == null) {
            return List.of();
        }
        List<EntryRecord> known = new ArrayList<>(fleet.entries());
        if (stop.stopping()) {
            // The control hosts may not have heard of it yet.
            known.removeIf(each -> each.host().equals(settings.host()));
        }
        return CallerDirectory.addresses(known, region, domain, random);
    }

    private EntryRecord record() {
        return new EntryRecord(
                settings.host(),
                incarnation,
                settings.callers(),
                settings.peers(),
                settings.failureDomain(),
                settings.region(),
                serving());
    }

    /** News of one event come from each control host; what follows from them is worked out once. */
    private void fleetChangedSoon() {
        if (!changePending) {
            changePending = true;
            thread.executeAfter(this::fleetChanged, CHANGE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void fleetChanged() {
        changePending = false;
        fleet.table().ifPresent(table -> {
            if (!table.limits().sameAs(limits)) {
                limits = table.limits();
                ports.apply(limits);
            }
            dispatchers.update(table, fleet.usable(), fleet.entries(), fleet.settled());
            dispatch.fleetChanged();
            calls.tableArrived();
        });
    }

    /** Tells an entry the decision on its call; one that does not know the call any more gives the place back. */
    private void tell(HostId host, DispatchAnswer answer) {
        if (host.equals(settings.host())) {
            giveBack(answer, dispatch.decided(host, answer));
            return;
        }
        peers.network()
                .call(
                        settings.peersOf(host),
                        DispatchChannels.DECIDED,
                        new QueuedDecision(settings.host(), answer),
                        ReportQueue.TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<Acknowledgement> taken) {
                        giveBack(answer, taken.value());
                    }
                });
    }

    private void giveBack(DispatchAnswer answer, Acknowledgement taken) {
        if (!taken.known()) {
            dispatchers.giveBack(new AttemptReport(answer.attempt(), AttemptEnd.CANCELLED));
        }
    }

    /** Takes settings that have changed while this process runs; only the control hosts to follow can change so. */
    public void reload(NodeSettings next) {
        thread.execute(() -> fleet.followAll(next.controlPeers()));
    }

    /** Leaves the directory, finishes what is in flight as far as there is time, then closes. */
    public void stop() throws InterruptedException {
        stop.begin();
        log.line("stopping").with("open", open == null ? 0 : open.size()).write();
        while (open != null && !ends()) {
            Thread.sleep(STOP_LOOK_MILLIS);
        }
        thread.execute(() -> open.all().forEach(Call::abort));
        Thread.sleep(STOP_LOOK_MILLIS);
        log.line("stopped").with("open", open == null ? 0 : open.size()).write();
        close();
    }

    /** Decided where calls are taken, so that none slips in between. */
    private boolean ends() {
        CompletableFuture<Boolean> ends = new CompletableFuture<>();
        thread.execute(() -> ends.complete(stop.end(open.size())));
        return ends.join();
    }

    @Override
    public void close() {
        if (fleet != null) {
            fleet.close();
        }
        closer.close();
    }
}
