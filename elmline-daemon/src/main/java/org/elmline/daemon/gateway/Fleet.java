package org.elmline.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
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
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.PackedRouting;
import org.elmline.core.registry.PendingPoll;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.RegistryChannels;
import org.elmline.core.registry.RegistryChannels.RoutingQuery;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.core.registry.RegistryView;
import org.elmline.core.routing.RoutingFormat;
import org.elmline.core.routing.RoutingTable;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.FollowLoop;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.daemon.node.PeerNode;
import org.xnio.XnioExecutor;

/**
 * What an entry knows of the deployment: it follows every control host and puts the newest routing table in force. While
 * no control host answers, it goes on with what it holds. Used on the I/O thread only.
 */
final class Fleet {
    /** A control host that has not answered for this long after a poll's hold has no say on who is silent. */
    private static final long CURRENT_MILLIS = 1_200;

    /** Three heartbeats of a backend server, after which one that was not heard is silent. */
    private static final long RELEARN_NANOS = Duration.ofMillis(3_600).toNanos();

    /** Two polls of each entry, after which a control host that has started knows all entries that live. */
    private static final long SETTLE_NANOS = Duration.ofMillis(1_000).toNanos();

    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(600);

    /**
     * Pause before the next control host is followed. After a loss of all power each entry came to all of them at once, and
     * they were busy with handshakes for longer than with all else before the first table could go out.
     */
    private static final long FOLLOW_PAUSE_MILLIS = 60;

    /** Failed polls after which a control host that is named by no other is given up. */
    private static final int GIVE_UP_FAILURES = 12;

    private final NodeSettings settings;
    private final PeerNode peers;
    private final RoutingFormat format;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Supplier<EntryRecord> self;
    private final Runnable onTable;
    private final Runnable onNews;
    private final RegistryView view =
            new RegistryView(currentNanos(PendingPoll.HOLD_MILLIS), RELEARN_NANOS, SETTLE_NANOS);
    private final Map<Address, FollowLoop> follows = new HashMap<>();
    private final StaggeredStart<Address> starts;
    private final Map<ServiceName, List<BackendServerId>> byService = new HashMap<>();
    private List<Registration> grouped;
    private RoutingTable table;
    private volatile long versionKnown = -1;
    private volatile long holdMillis = PendingPoll.HOLD_MILLIS;
    private boolean fetching;
    private boolean wasSettled;

    /**
     * @param self what this entry tells of itself
     * @param onTable called once a new routing table is held, and before anybody can know of it
     * @param onNews called after every change of servers or entries
     */
    Fleet(
            NodeSettings settings,
            PeerNode peers,
            XnioExecutor thread,
            RoutingFormat format,
            MonotonicClock clock,
            DecisionLog log,
            Supplier<EntryRecord> self,
            Runnable onTable,
            Runnable onNews) {
        this.settings = settings;
        this.peers = peers;
        this.format = format;
        this.clock = clock;
        this.log = log;
        this.self = self;
        this.onTable = onTable;
        this.onNews = onNews;
        this.starts = new StaggeredStart<>(thread, FOLLOW_PAUSE_MILLIS, this::follow);
    }

    void start() {
        List<Address> controls = new ArrayList<>(settings.controlPeers());
        // All entries are told of the same few hosts.
        Collections.shuffle(controls);
        followAll(controls);
    }

    /** Follows these control hosts beside those that are followed already. */
    void followAll(List<Address> controls) {
        controls.forEach(starts::add);
    }

    private void follow(Address control) {
        ScheduledExecutorService timer = peers.timer();
        FollowLoop loop = new FollowLoop(
                peers.network(),
                control,
                settings.host(),
                self,
                () -> versionKnown,
                () -> holdMillis,
                answer -> take(control, answer),
                timer);
        follows.put(control, loop);
        holdMillis = PendingPoll.holdMillis(follows.size());
        view.updateAnswerValidity(currentNanos(holdMillis));
        log.line("control host followed").with("control", control).write();
        loop.start();
    }

    private static long currentNanos(long holdMillis) {
        return Duration.ofMillis(holdMillis + CURRENT_MILLIS).toNanos();
    }

    private void take(Address control, FollowAnswer answer) {
        boolean changed = view.apply(control, answer, clock.nanos());
        answer.controls().forEach(starts::add);
        dropLost(answer.controls());
        if (answer.routingVersion() > versionKnown) {
            versionKnown = answer.routingVersion();
            log.line("routing announced")
                    .with("control", control)
                    .with("version", versionKnown)
                    .with("held", heldVersion())
                    .write();
        }
        if (answer.routing() != null) {
            apply(answer.routing(), "poll");
        }
        if (answer.packedRouting() != null) {
            unpack(answer.packedRouting(), control, "poll");
        }
        if (heldVersion() < answer.routingVersion()) {
            fetch(control);
        }
        if (changed || settled() != wasSettled) {
            wasSettled = settled();
            onNews.run();
        }
    }

    private void dropLost(List<Address> named) {
        follows.entrySet().removeIf(each -> {
            boolean lost = each.getValue().failures() >= GIVE_UP_FAILURES
                    && !named.contains(each.getKey())
                    && !settings.controlPeers().contains(each.getKey());
            if (lost) {
                log.line("control host given up").with("control", each.getKey()).write();
                each.getValue().close();
                starts.remove(each.getKey());
                view.removeControlHost(each.getKey());
                peers.network().forget(each.getKey());
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
                        unpack(answered.value(), control, "fetch");
                    } else if (result instanceof CallResult.NotSent<PackedRouting>) {
                        fetchText(control);
                    }
                });
    }

    /** A control host of an earlier release packs nothing. */
    private void fetchText(Address control) {
        peers.network()
                .call(control, RegistryChannels.FETCH_ROUTING, new RoutingQuery(), FETCH_TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<RoutingText> answered) {
                        apply(answered.value(), "fetch of text");
                    }
                });
    }

    private void unpack(PackedRouting packed, Address control, String by) {
        if (packed.version() <= heldVersion()) {
            return;
        }
        packed.unpack().ifPresentOrElse(text -> apply(text, by), () -> log.line("routing not unpacked")
                .with("version", packed.version())
                .with("control", control)
                .write());
    }

    private void apply(RoutingText text, String by) {
        if (!text.known() || text.version() <= heldVersion()) {
            return;
        }
        RoutingTable.BuildResult built = format.read(text.text().getBytes(StandardCharsets.UTF_8));
        if (built instanceof RoutingTable.BuildResult.Valid valid) {
            table = valid.table();
            log.line("routing in force")
                    .with("version", table.version())
                    .with("by", by)
                    .write();
            onTable.run();
        } else {
            log.line("routing not understood")
                    .with("version", text.version())
                    .with("why", ((RoutingTable.BuildResult.Invalid) built).reason())
                    .write();
        }
    }

    private long heldVersion() {
        return table == null ? -1 : table.version();
    }

    /** The table in force; empty until the first one has come. */
    Optional<RoutingTable> table() {
        return Optional.ofNullable(table);
    }

    /** Whether a control host answers, so that what is held is new. */
    boolean current() {
        return view.answeringControlHosts(clock.nanos()) > 0;
    }

    /** Whether {@link #entries()} are all there are; not so for a moment after a loss of all hosts. */
    boolean settled() {
        return view.isEntryListComplete(clock.nanos());
    }

    List<Registration> usable() {
        return view.usable(clock.nanos());
    }

    Collection<EntryRecord> entries() {
        return view.entries(clock.nanos());
    }

    /** The servers of a service that may be sent work. */
    List<BackendServerId> servers(ServiceName service) {
        List<Registration> all = usable();
        if (all != grouped) {
            grouped = all;
            byService.clear();
            for (Registration each : all) {
                byService
                        .computeIfAbsent(each.service(), name -> new ArrayList<>())
                        .add(each.id());
            }
        }
        return byService.getOrDefault(service, List.of());
    }

    Registration server(BackendServerId id) {
        return view.server(id);
    }

    void close() {
        follows.values().forEach(FollowLoop::close);
    }
}
