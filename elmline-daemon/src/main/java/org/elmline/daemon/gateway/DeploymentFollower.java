package org.elmline.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.quarantine.ServerStart;
import org.elmline.core.registry.ColdEnds;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.PackedRouting;
import org.elmline.core.registry.PendingPoll;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.RegistryChannels;
import org.elmline.core.registry.RegistryChannels.RoutingQuery;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.core.registry.RegistryView;
import org.elmline.core.registry.RoutingLag;
import org.elmline.core.routing.RoutingFormat;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.daemon.node.PeerEndpoint;
import org.elmline.daemon.node.RegistryPoller;
import org.xnio.XnioExecutor;

/**
 * An entry's view of the deployment: follows every control host and puts the newest routing table in force. While no
 * control host answers, the last state received stays in use. Used on the I/O thread only.
 */
final class DeploymentFollower implements EndWatch.ServerRegistrations {
    /**
     * A control host that has not answered for this long after a poll's hold time no longer counts in deciding which
     * servers are silent.
     */
    private static final long CONTROL_TIMEOUT_MILLIS = 1_200;

    /** Three heartbeat intervals, after which a restarted control host has a record of all live backend servers. */
    private static final long SERVER_DISCOVERY_NANOS = Duration.ofMillis(3_600).toNanos();

    /** Two polls of each entry, after which a restarted control host has a record of all live entries. */
    private static final long ENTRY_DISCOVERY_NANOS = Duration.ofMillis(1_000).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(600);

    /**
     * Pause before the next control host is followed. One tells all that an entry needs to serve, the others are for when
     * it is lost. After a loss of all power the handshakes of all entries hold up the first tables and the election.
     */
    private static final long FOLLOW_INTERVAL_MILLIS = 300;

    /**
     * Control hosts that report changes of entries without delay; any two may fail. When all entries are restarted in
     * turn, most of the processor time of a large deployment went into reporting each change nine times over.
     */
    private static final int PRIMARY_CONTROL_HOSTS = 3;

    /** Consecutive failed polls after which a control host that no other one reports is no longer followed. */
    private static final int MAX_POLL_FAILURES = 12;

    private final NodeSettings settings;
    private final PeerEndpoint peers;
    private final XnioExecutor thread;
    private final RoutingFormat routingFormat;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Supplier<EntryRecord> selfRecord;
    private final Runnable onRoutingTable;
    private final Runnable onChange;
    private final QuarantineListener quarantineListener;
    private final EvacuationView evacuations;
    private final RegistryView view = new RegistryView(
            controlTimeoutNanos(PendingPoll.HOLD_MILLIS), SERVER_DISCOVERY_NANOS, ENTRY_DISCOVERY_NANOS);
    private final Map<Address, RegistryPoller> pollers = new LinkedHashMap<>();
    private volatile List<Address> primaries = List.of();
    private List<Address> reportedControls = List.of();
    private final StaggeredStart<Address> followStarter;
    private final Map<ServiceName, List<BackendServerId>> serversByService = new HashMap<>();
    private final Map<BackendServerId, Registration> usableById = new HashMap<>();
    private List<Registration> groupedServers;
    private RoutingTable table;
    private long tableAppliedAtNanos;
    private final RoutingLag lag = new RoutingLag();
    private volatile long holdMillis = PendingPoll.HOLD_MILLIS;
    private boolean fetching;
    private boolean hadAllEntries;
    private boolean outdated;
    private boolean everConfirmed;
    private final long startedAtNanos;

    /** Receives what control hosts hold on quarantined requests and parts of prompts. */
    interface QuarantineListener {
        /**
         * Called for each answer of a control host.
         *
         * @param start identifies the start of the control host
         * @param news null without a change since its last answer
         */
        void onAnswer(Address controlHost, long start, QuarantineNews news);
    }

    /**
     * @param selfRecord this entry's own record, sent with each poll
     * @param onRoutingTable called once a new routing table or new evacuations are held, before any other part can use
     *     them
     * @param onChange called after every change of servers or entries
     * @param quarantineListener receives what a control host holds on quarantined parts of prompts
     * @param evacuations holds the evacuations that control hosts send; their servers are not usable
     */
    DeploymentFollower(
            NodeSettings settings,
            PeerEndpoint peers,
            XnioExecutor thread,
            RoutingFormat routingFormat,
            MonotonicClock clock,
            DecisionLog log,
            Supplier<EntryRecord> selfRecord,
            Runnable onRoutingTable,
            Runnable onChange,
            QuarantineListener quarantineListener,
            EvacuationView evacuations) {
        this.settings = settings;
        this.peers = peers;
        this.thread = thread;
        this.routingFormat = routingFormat;
        this.clock = clock;
        this.log = log;
        this.selfRecord = selfRecord;
        this.onRoutingTable = onRoutingTable;
        this.onChange = onChange;
        this.quarantineListener = quarantineListener;
        this.evacuations = evacuations;
        this.startedAtNanos = clock.nanos();
        this.followStarter = new StaggeredStart<>(thread, FOLLOW_INTERVAL_MILLIS, this::follow);
    }

    void start() {
        List<Address> controls = new ArrayList<>(settings.controlPeerAddresses());
        // All entries are configured with the same few hosts; shuffling spreads their first polls.
        Collections.shuffle(controls);
        followAll(controls);
    }

    /** Follows these control hosts in addition to those already followed. */
    void followAll(List<Address> controls) {
        controls.forEach(followStarter::add);
    }

    /** Follows the control hosts that another one reports, each entry in an order of its own. */
    private void followReported(List<Address> controls) {
        if (controls.equals(reportedControls)) {
            return;
        }
        reportedControls = controls;
        List<Address> shuffled = new ArrayList<>(controls);
        Collections.shuffle(shuffled);
        shuffled.forEach(followStarter::add);
        holdMillis = PendingPoll.holdMillis(followStarter.size());
        view.updateAnswerValidity(controlTimeoutNanos(holdMillis));
    }

    private void follow(Address control) {
        ScheduledExecutorService timer = peers.timer();
        RegistryPoller poller = new RegistryPoller(
                peers.network(),
                control,
                settings.host(),
                selfRecord,
                lag::announcedVersion,
                () -> holdMillis,
                () -> !primaries.contains(control),
                evacuations::progress,
                answer -> handleAnswer(control, answer),
                thread,
                timer);
        pollers.put(control, poller);
        choosePrimaries();
        log.line("following control host").with("control", control).write();
        poller.start();
    }

    /** Chooses the hosts that report changes of entries without delay: the longest followed ones that answer. */
    private void choosePrimaries() {
        List<Address> next = new ArrayList<>(PRIMARY_CONTROL_HOSTS);
        for (RegistryPoller each : pollers.values()) {
            if (next.size() == PRIMARY_CONTROL_HOSTS) {
                break;
            }
            if (each.consecutiveFailures() == 0) {
                next.add(each.controlHost());
            }
        }
        primaries = next;
    }

    private static long controlTimeoutNanos(long holdMillis) {
        return Duration.ofMillis(holdMillis + CONTROL_TIMEOUT_MILLIS).toNanos();
    }

    private void handleAnswer(Address control, FollowAnswer answer) {
        boolean wasOutdated = outdated;
        boolean changed = view.apply(control, answer, clock.nanos());
        everConfirmed |= view.isConfirmed(clock.nanos());
        followReported(answer.controls());
        choosePrimaries();
        dropLostControlHosts(answer.controls());
        if (lag.onAnnounced(answer.routingVersion(), clock.nanos())) {
            log.line("routing announced")
                    .with("control", control)
                    .with("version", lag.announcedVersion())
                    .with("held", heldVersion())
                    .write();
        }
        // Before a first routing table, by which waiting calls are placed.
        applyEvacuations(answer.evacuation());
        if (answer.routing() != null) {
            apply(answer.routing(), "poll");
        }
        if (answer.packedRouting() != null) {
            applyPacked(answer.packedRouting(), control, "poll");
        }
        if (heldVersion() < answer.routingVersion()) {
            fetch(control);
        }
        quarantineListener.onAnswer(control, answer.epoch(), answer.quarantine());
        changed |= wasOutdated && !isTableOutdated();
        if (changed || hasAllEntries() != hadAllEntries) {
            hadAllEntries = hasAllEntries();
            onChange.run();
        }
    }

    /**
     * Puts evacuations in force if they are newer. Dispatchers of this entry stop using the servers at once: a call that
     * got such a server would ask for a place again and again.
     */
    void applyEvacuations(Evacuations next) {
        if (evacuations.apply(next)) {
            onRoutingTable.run();
        }
    }

    private void dropLostControlHosts(List<Address> reportedControls) {
        pollers.entrySet().removeIf(each -> {
            boolean lost = each.getValue().consecutiveFailures() >= MAX_POLL_FAILURES
                    && !reportedControls.contains(each.getKey())
                    && !settings.controlPeerAddresses().contains(each.getKey());
            if (lost) {
                log.line("control host removed after failed polls")
                        .with("control", each.getKey())
                        .write();
                each.getValue().close();
                followStarter.remove(each.getKey());
                view.removeControlHost(each.getKey());
                peers.network().disconnect(each.getKey());
            }
            return lost;
        });
    }

    private void fetch(Address control) {
        if (fetching) {
            return;
        }
        fetching = true;
        peers.network()
                .call(control, RegistryChannels.FETCH_PACKED, new RoutingQuery(), FETCH_TIMEOUT)
                .thenAccept(result -> {
                    fetching = false;
                    if (result instanceof CallResult.Answered<PackedRouting> answered) {
                        applyPacked(answered.value(), control, "fetch");
                    } else if (result instanceof CallResult.NotSent<PackedRouting>) {
                        fetchText(control);
                    }
                });
    }

    /** Fetches the table as text: a control host of an earlier release does not serve packed tables. */
    private void fetchText(Address control) {
        peers.network()
                .call(control, RegistryChannels.FETCH_ROUTING, new RoutingQuery(), FETCH_TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<RoutingText> answered) {
                        apply(answered.value(), "fetch of text");
                    }
                });
    }

    private void applyPacked(PackedRouting packed, Address control, String source) {
        if (packed.version() <= heldVersion()) {
            return;
        }
        packed.unpack().ifPresentOrElse(text -> apply(text, source), () -> log.line("packed routing table unreadable")
                .with("version", packed.version())
                .with("control", control)
                .write());
    }

    private void apply(RoutingText text, String source) {
        if (!text.known() || text.version() <= heldVersion()) {
            return;
        }
        RoutingTable.BuildResult buildResult = routingFormat.read(text.text().getBytes(StandardCharsets.UTF_8));
        if (buildResult instanceof RoutingTable.BuildResult.Valid valid) {
            table = valid.table();
            tableAppliedAtNanos = clock.nanos();
            lag.onHeld(table.version(), tableAppliedAtNanos);
            log.line("routing in force")
                    .with("version", table.version())
                    .with("by", source)
                    .write();
            onRoutingTable.run();
        } else {
            // It will not become valid by waiting, so it is no reason to hold calls.
            lag.onHeld(text.version(), clock.nanos());
            log.line("routing table invalid")
                    .with("version", text.version())
                    .with("why", ((RoutingTable.BuildResult.Invalid) buildResult).reason())
                    .write();
        }
    }

    private long heldVersion() {
        return table == null ? -1 : table.version();
    }

    /** The table in force; empty until the first one has been received. */
    Optional<RoutingTable> table() {
        return Optional.ofNullable(table);
    }

    /** Milliseconds since the table in force was applied; negative without one. */
    long tableAgeMillis() {
        return table == null ? -1 : (clock.nanos() - tableAppliedAtNanos) / NANOS_PER_MILLI;
    }

    /** Whether the table in force is the newest one by a control host that a leader confirms. */
    boolean isCurrent() {
        return view.isConfirmed(clock.nanos()) && !lag.isLagging();
    }

    /**
     * Whether callers must not be served by the table in force: a newer one was announced too long ago, or the control
     * hosts have been running too long without a leader, or none was confirmed since this entry's start. After a loss of
     * all hosts those that answer may have restored a table that is older than one that an operator has an
     * acknowledgement for, and only a leader can tell.
     */
    boolean isTableOutdated() {
        long now = clock.nanos();
        long unconfirmedNanos = settings.unconfirmedRoutingMillis() * NANOS_PER_MILLI;
        boolean overdue = lag.isLaggingFor(settings.routingUpdateMillis() * NANOS_PER_MILLI, now);
        // An entry whose table was never confirmed since its start may have got a restored one from a host that is
        // alone.
        boolean unconfirmed = everConfirmed
                ? view.isUnconfirmedFor(unconfirmedNanos, followStarter.size(), now)
                : table != null && now - startedAtNanos >= unconfirmedNanos;
        boolean next = overdue || unconfirmed || (outdated && lag.isLagging());
        if (next != outdated) {
            outdated = next;
            log.line(outdated ? "routing table outdated" : "routing table up to date")
                    .with("version", heldVersion())
                    .with("announced", lag.announcedVersion())
                    .with("unconfirmed", unconfirmed)
                    .with("controlHosts", followStarter.size())
                    .with("answering", view.answeringControlHosts(now))
                    .write();
        }
        return outdated;
    }

    /** Whether a control host answers that a leader confirms, so that this entry is not cut off with a minority. */
    boolean isConfirmed() {
        return view.isConfirmed(clock.nanos());
    }

    /** When servers stop being cold, by the newest reports. */
    ColdEnds coldEnds() {
        return view.coldEnds();
    }

    /** Whether {@link #entries()} are all live entries; false for a moment after a loss of all hosts. */
    boolean hasAllEntries() {
        return view.isEntryListComplete(clock.nanos());
    }

    /** The servers that accept work, without those of evacuated failure domains. */
    List<Registration> usableServers() {
        return evacuations.remaining(view.usable(clock.nanos()));
    }

    Collection<EntryRecord> entries() {
        return view.entries(clock.nanos());
    }

    /** Whether a caller that is refused here may be served by another entry. */
    boolean hasOtherServingEntry() {
        return entries().stream()
                .anyMatch(each -> each.serving() && !each.host().equals(settings.host()));
    }

    /** The servers of a service that accept work. */
    List<BackendServerId> servers(ServiceName service) {
        groupServers();
        return serversByService.getOrDefault(service, List.of());
    }

    /** The registration of a server that accepts work; null for any other one. */
    Registration usableServer(BackendServerId id) {
        groupServers();
        return usableById.get(id);
    }

    private void groupServers() {
        List<Registration> usable = usableServers();
        if (usable == groupedServers) {
            return;
        }
        groupedServers = usable;
        serversByService.clear();
        usableById.clear();
        for (Registration each : usable) {
            usableById.put(each.id(), each);
            serversByService
                    .computeIfAbsent(each.service(), name -> new ArrayList<>())
                    .add(each.id());
        }
    }

    /** Peer addresses of the control hosts that this entry follows. */
    Collection<Address> controlHosts() {
        return List.copyOf(pollers.keySet());
    }

    Registration server(BackendServerId id) {
        return view.server(id);
    }

    @Override
    public boolean hasLaterStart(ServerStart start, Address address) {
        return view.hasLaterStart(start.server(), start.bornMillis(), address);
    }

    @Override
    public boolean hasLeft(ServerStart start) {
        return view.hasLeft(start.server(), start.bornMillis());
    }

    @Override
    public boolean isExpired(ServerStart start) {
        return view.isExpired(start.server(), clock.nanos());
    }

    void close() {
        pollers.values().forEach(RegistryPoller::close);
    }
}
