package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.dispatch.DispatchChannels.Acknowledgement;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.GrantHolders;
import org.elmline.core.dispatch.OpenGrant;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.core.dispatch.ServiceShard;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.EntryRecord;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.xnio.XnioExecutor;

/**
 * Asks the dispatcher of a service for places, wherever it runs. One that does not answer at once is passed over for a
 * while and the next entry in order is asked; in the end this entry decides by itself, on what it alone knows: a worse
 * place is better than none. Used on the I/O thread only.
 */
final class DispatchClient {
    /** Least time for a dispatcher to answer: a hundred round trips, and less than a short call's aim allows. */
    private static final long MIN_ANSWER_TIMEOUT_MILLIS = 120;

    /** Most time for it: a lost packet is sent again after 200 ms, and again after 400 more. */
    private static final long MAX_ANSWER_TIMEOUT_MILLIS = 600;

    /**
     * Part of the time to a call's aim for which a dispatcher may stay silent. Long calls can wait for a packet that is
     * sent again, and the next dispatcher in order, which knows little of what runs, would place them badly.
     */
    private static final int ANSWER_TIMEOUT_DIVISOR = 5;

    /** Pause after which a call that waits asks again: finds a dispatcher that died with its queue. */
    private static final long REPEAT_REQUEST_MILLIS = 250;

    /** Entries asked before this one decides by itself. */
    private static final int MAX_DISPATCHERS_TRIED = 2;

    /** Shards that are asked at once for a call that must wait or is refused; the others get their turn as it waits. */
    private static final int MAX_SHARDS_REQUESTED = 2;

    /**
     * Lateness from which on this entry's own thread was held up: what came meanwhile was not read, and its answers would
     * be taken for missing.
     */
    private static final long STALL_THRESHOLD_NANOS = Duration.ofMillis(100).toNanos();

    private final NodeSettings settings;
    private final long incarnation;
    private final PeerNetwork network;
    private final DispatcherDirectory directory;
    private final DispatchService localDispatch;
    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<String, PendingPlacement> pendingPlacements = new HashMap<>();
    private final Map<String, OpenGrant> openGrants = new HashMap<>();
    private final GrantHolders grantHolders = new GrantHolders();
    private final Map<ServiceShard, EntryRecord> firstDispatchers = new HashMap<>();
    private final ReportQueue reportQueue;
    private final Map<ServiceShard, Set<HostId>> informedDispatchers = new HashMap<>();

    DispatchClient(
            NodeSettings settings,
            long incarnation,
            PeerNetwork network,
            DispatcherDirectory directory,
            DispatchService localDispatch,
            XnioExecutor thread,
            MonotonicClock clock,
            DecisionLog log) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.network = network;
        this.directory = directory;
        this.localDispatch = localDispatch;
        this.thread = thread;
        this.clock = clock;
        this.log = log;
        this.reportQueue = new ReportQueue(settings, network, localDispatch, thread);
    }

    void register(HandlerRegistry handlers) {
        handlers.register(DispatchChannels.PLACE, call -> CompletableFuture.completedFuture(localDispatch.place(call)));
        handlers.register(DispatchChannels.REPORT, reported -> {
            localDispatch.report(reported.service(), reported.reports());
            return CompletableFuture.completedFuture(new Acknowledgement(true));
        });
        handlers.register(DispatchChannels.ADOPT, adoption -> {
            localDispatch.adopt(adoption);
            return CompletableFuture.completedFuture(new Acknowledgement(true));
        });
        handlers.register(
                DispatchChannels.DECIDED,
                decided -> CompletableFuture.completedFuture(onDecision(decided.dispatcher(), decided.answer())));
    }

    /** Takes a decision on a call that waited here. */
    Acknowledgement onDecision(HostId dispatcher, DispatchAnswer answer) {
        PendingPlacement pending = pendingPlacements.get(answer.attempt());
        if (pending == null || answer instanceof DispatchAnswer.Queued) {
            return new Acknowledgement(pending != null);
        }
        pending.finish(dispatcher, answer);
        return new Acknowledgement(true);
    }

    /** Asks for a place; the answer is final and comes once, unless the call is withdrawn before. */
    void place(DispatchCall call, Consumer<DispatchAnswer> callback) {
        PendingPlacement placement = new PendingPlacement(call, callback);
        pendingPlacements.put(call.attempt(), placement);
        placement.start();
    }

    /** The caller has left before there was a place. */
    void withdraw(DispatchCall call) {
        PendingPlacement pending = pendingPlacements.remove(call.attempt());
        if (pending != null) {
            pending.finished = true;
            reportEnd(call, AttemptEnd.CANCELLED);
        }
    }

    /**
     * The first token, or the answer, of a granted call has come.
     *
     * @param limit what the answer says of the requests that the server takes
     */
    void reportFirstToken(DispatchCall call, ServerRateLimit limit) {
        OpenGrant grant = openGrants.get(call.attempt());
        if (grant != null && !grant.writing() && call.promptTokens() > 0) {
            openGrants.put(call.attempt(), new OpenGrant(grant.call(), grant.granted(), true));
            AttemptReport report = new AttemptReport(call.attempt(), null, limit);
            grantHolders.holdersOf(call.attempt()).forEach(each -> reportQueue.add(call.service(), each, report));
        }
    }

    /** A granted call has ended without an answer. */
    void reportEnd(DispatchCall call, AttemptEnd end) {
        reportEnd(call, end, null);
    }

    /**
     * A granted call has ended.
     *
     * @param limit what the answer says of the requests that the server takes, null without an answer
     */
    void reportEnd(DispatchCall call, AttemptEnd end, ServerRateLimit limit) {
        openGrants.remove(call.attempt());
        AttemptReport endReport = new AttemptReport(call.attempt(), end, limit);
        grantHolders.removeAttempt(call.attempt()).forEach(each -> reportQueue.add(call.service(), each, endReport));
    }

    /** Tells the dispatcher of each shard, where it is another one than before, what runs here. */
    void onDeploymentChanged() {
        Set<ServiceName> services = new HashSet<>();
        firstDispatchers.keySet().forEach(each -> services.add(each.service()));
        services.forEach(this::onDeploymentChanged);
    }

    /**
     * Notes who dispatches a service at the first call for it. Later changes are noted where the new dispatchers are told
     * what runs, or one that a call happens to ask first would never be told.
     */
    private void recordDispatchers(ServiceName service) {
        if (firstDispatchers.keySet().stream().anyMatch(each -> each.service().equals(service))) {
            return;
        }
        for (ServiceShard each : directory.shards(service)) {
            directory.byPreference(each).stream().findFirst().ifPresent(first -> firstDispatchers.put(each, first));
        }
    }

    private void onDeploymentChanged(ServiceName service) {
        List<ServiceShard> shards = directory.shards(service);
        firstDispatchers.keySet().removeIf(each -> each.service().equals(service) && !shards.contains(each));
        boolean changed = false;
        for (ServiceShard each : shards) {
            List<EntryRecord> order = directory.byPreference(each);
            if (order.isEmpty()) {
                continue;
            }
            EntryRecord previous = firstDispatchers.put(each, order.get(0));
            if (previous == null || isOtherProcess(order.get(0), previous)) {
                handOverGrants(each, order.get(0));
                changed = true;
            }
        }
        if (changed) {
            repeatRequests(service);
        }
    }

    /** What waits at the dispatcher before would be placed by it blindly, or not before its next turn to ask. */
    private void repeatRequests(ServiceName service) {
        for (PendingPlacement each : List.copyOf(pendingPlacements.values())) {
            if (each.call.service().equals(service)) {
                each.repeat();
            }
        }
    }

    private List<OpenGrant> openGrantsOn(ServiceShard shard) {
        return openGrants.values().stream()
                .filter(each -> each.call().service().equals(shard.service()))
                .filter(each -> shard.shard().contains(each.granted().server()))
                .toList();
    }

    private static boolean isOtherProcess(EntryRecord a, EntryRecord b) {
        return !a.host().equals(b.host()) || a.incarnation() != b.incarnation();
    }

    private void handOverGrants(ServiceShard shard, EntryRecord dispatcher) {
        List<OpenGrant> grants = openGrantsOn(shard);
        log.line("dispatcher changed")
                .with("service", shard)
                .with("dispatcher", dispatcher.host())
                .with("open", grants.size())
                .write();
        grants.forEach(each -> retainOnly(dispatcher.host(), each.call()));
        sendAdoption(dispatcher, adoption(shard, true, grants));
    }

    private Adoption adoption(ServiceShard shard, boolean all, List<OpenGrant> grants) {
        return new Adoption(
                shard.service(),
                shard.shard(),
                settings.host(),
                incarnation,
                all,
                grants,
                localDispatch.observedLimits().all());
    }

    private void sendAdoption(EntryRecord dispatcher, Adoption adoption) {
        if (dispatcher.host().equals(settings.host())) {
            localDispatch.adopt(adoption);
            return;
        }
        // What it was told to forget before must not end what it is told of now.
        reportQueue.flush();
        network.call(dispatcher.peers(), DispatchChannels.ADOPT, adoption, ReportQueue.SEND_TIMEOUT);
    }

    /**
     * Tells a dispatcher that is asked in place of the first one what runs here, once for each time that the first one is
     * passed over. Knowing nothing, it would fill engines that are full. From all entries it has the whole within some calls of each.
     */
    private void sendOpenGrants(ServiceShard shard, EntryRecord dispatcher) {
        if (!informedDispatchers.computeIfAbsent(shard, each -> new HashSet<>()).add(dispatcher.host())) {
            return;
        }
        List<OpenGrant> grants = openGrantsOn(shard);
        grants.forEach(each -> grantHolders.addHolder(each.call().attempt(), dispatcher.host()));
        sendAdoption(dispatcher, adoption(shard, true, grants));
    }

    /** Leaves an attempt to one dispatcher, and has the others forget it. */
    private void retainOnly(HostId dispatcher, DispatchCall call) {
        reportCancelled(call.service(), grantHolders.retainOnly(call.attempt(), dispatcher), call);
    }

    /** Tells dispatchers that an attempt is none of theirs any more; it runs or waits on. */
    private void reportCancelled(ServiceName service, List<HostId> dispatchers, DispatchCall call) {
        AttemptReport cancellation = new AttemptReport(call.attempt(), AttemptEnd.CANCELLED);
        dispatchers.forEach(each -> reportQueue.add(service, each, cancellation));
    }

    /** A dispatcher to ask: a shard, and the entry that decides for it. */
    private record Target(ServiceShard shard, EntryRecord entry) {}

    /** One call on its way to a place. */
    private final class PendingPlacement {
        private final DispatchCall call;
        private final Consumer<DispatchAnswer> callback;
        private final List<HostId> skippedDispatchers = new ArrayList<>();
        private final Set<ServiceShard> answeredShards = new HashSet<>();
        private List<ServiceShard> shards = List.of();
        private XnioExecutor.Key repeatTimer;
        private boolean isQueued;
        private boolean finished;

        PendingPlacement(DispatchCall call, Consumer<DispatchAnswer> callback) {
            this.call = call;
            this.callback = callback;
        }

        /** Begins to ask: the shards in another order each time, so that a call that waits tries one after the other. */
        void start() {
            shards = directory.shardsByPreference(call.service());
            recordDispatchers(call.service());
            skippedDispatchers.clear();
            answeredShards.clear();
            isQueued = false;
            request();
        }

        private void request() {
            if (finished) {
                return;
            }
            Target target = nextTarget();
            if (target == null) {
                ServiceShard shard = shards.get(0);
                grantHolders.addHolder(call.attempt(), settings.host());
                handleAnswer(
                        shard, settings.host(), DispatchClient.this.localDispatch.place(call.withShard(shard.shard())));
                return;
            }
            request(target);
        }

        private void request(Target target) {
            HostId dispatcher = target.entry().host();
            if (!dispatcher.equals(directory.byPreference(target.shard()).get(0).host())) {
                sendOpenGrants(target.shard(), target.entry());
            }
            grantHolders.addHolder(call.attempt(), dispatcher);
            DispatchCall request = call.withShard(target.shard().shard());
            if (dispatcher.equals(settings.host())) {
                handleAnswer(target.shard(), dispatcher, localDispatch.place(request));
                return;
            }
            long sentAtNanos = clock.nanos();
            network.call(target.entry().peers(), DispatchChannels.PLACE, request, answerTimeout())
                    .thenAccept(result -> onAnswer(target, sentAtNanos, result));
        }

        private void onAnswer(Target target, long sentAtNanos, CallResult<DispatchAnswer> result) {
            if (finished) {
                return;
            }
            HostId dispatcher = target.entry().host();
            if (result instanceof CallResult.Answered<DispatchAnswer> answered) {
                directory.clearSuspicion(dispatcher);
                handleAnswer(target.shard(), dispatcher, answered.value());
            } else if (clock.nanos() - sentAtNanos > answerTimeout().toNanos() + STALL_THRESHOLD_NANOS) {
                log.line("stalled while asking").with("attempt", call.attempt()).write();
                request();
            } else {
                skip(dispatcher);
            }
        }

        private Duration answerTimeout() {
            long share = call.aimLeftMillis() / ANSWER_TIMEOUT_DIVISOR;
            return Duration.ofMillis(Math.max(MIN_ANSWER_TIMEOUT_MILLIS, Math.min(MAX_ANSWER_TIMEOUT_MILLIS, share)));
        }

        /**
         * The first dispatcher of each shard, which knows all that runs there, goes before the second one of any. Null
         * where this entry is to decide by itself.
         */
        private Target nextTarget() {
            if (skippedDispatchers.size() >= MAX_DISPATCHERS_TRIED) {
                return null;
            }
            Target first = nextFirstDispatcher();
            if (first != null) {
                return first;
            }
            for (EntryRecord each : directory.byPreference(shards.get(0))) {
                if (isAvailable(each)) {
                    return new Target(shards.get(0), each);
                }
            }
            return null;
        }

        /** The first dispatcher of a shard that has not answered yet; null where none may be asked. */
        private Target nextFirstDispatcher() {
            for (ServiceShard each : shards) {
                List<EntryRecord> order = directory.byPreference(each);
                if (!answeredShards.contains(each) && !order.isEmpty() && isAvailable(order.get(0))) {
                    return new Target(each, order.get(0));
                }
            }
            return null;
        }

        private boolean isAvailable(EntryRecord dispatcher) {
            return !directory.isSuspected(dispatcher.host()) && !skippedDispatchers.contains(dispatcher.host());
        }

        private void skip(HostId dispatcher) {
            log.line("dispatcher passed over")
                    .with("attempt", call.attempt())
                    .with("service", call.service())
                    .with("dispatcher", dispatcher)
                    .write();
            if (!directory.isSuspected(dispatcher)) {
                // What was told of this entry's calls before is old by now.
                shards.forEach(informedDispatchers::remove);
            }
            directory.suspect(dispatcher);
            skippedDispatchers.add(dispatcher);
            // It may have granted a place all the same.
            grantHolders.removeHolder(call.attempt(), dispatcher);
            reportCancelled(call.service(), List.of(dispatcher), call);
            if (isQueued) {
                scheduleRepeat();
            } else {
                request();
            }
        }

        private void handleAnswer(ServiceShard shard, HostId dispatcher, DispatchAnswer answer) {
            if (isFinal(answer)) {
                finish(dispatcher, answer);
                return;
            }
            if (answer instanceof DispatchAnswer.Queued) {
                // Left in the queue of the dispatcher before, a prompt would be placed by it when that has been told to
                // forget all that runs, on engines in use.
                retainOnly(dispatcher, call);
                isQueued = true;
            }
            answeredShards.add(shard);
            Target other = answeredShards.size() < MAX_SHARDS_REQUESTED ? nextFirstDispatcher() : null;
            if (other != null) {
                request(other);
            } else if (isQueued) {
                scheduleRepeat();
            } else {
                finish(dispatcher, answer);
            }
        }

        /** A shard that is full, or knows no server, says nothing of the others; the budget of retries is one for all. */
        private static boolean isFinal(DispatchAnswer answer) {
            return answer instanceof DispatchAnswer.Granted
                    || answer instanceof DispatchAnswer.Refused refused
                            && refused.why() == DispatchAnswer.RefusalCause.RETRY_BUDGET;
        }

        private void scheduleRepeat() {
            if (repeatTimer != null) {
                repeatTimer.remove();
            }
            repeatTimer = thread.executeAfter(this::repeat, REPEAT_REQUEST_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Asks anew, perhaps another dispatcher by now; the place in the queue of the last one is kept until then. */
        private void repeat() {
            if (!finished) {
                start();
            }
        }

        void finish(HostId dispatcher, DispatchAnswer answer) {
            if (finished) {
                return;
            }
            finished = true;
            pendingPlacements.remove(call.attempt());
            retainOnly(dispatcher, call);
            if (answer instanceof DispatchAnswer.Granted granted) {
                openGrants.put(call.attempt(), new OpenGrant(call, granted, false));
                notifyFirstDispatcher(dispatcher, granted);
            } else {
                grantHolders.removeAttempt(call.attempt());
            }
            callback.accept(answer);
        }

        /** The dispatcher that all ask first must count what another one has granted. */
        private void notifyFirstDispatcher(HostId dispatcher, DispatchAnswer.Granted granted) {
            ServiceShard shard = directory.shardOf(call.service(), granted.server());
            List<EntryRecord> order = directory.byPreference(shard);
            if (order.isEmpty() || order.get(0).host().equals(dispatcher)) {
                return;
            }
            grantHolders.addHolder(call.attempt(), order.get(0).host());
            sendAdoption(order.get(0), adoption(shard, false, List.of(openGrants.get(call.attempt()))));
        }
    }
}
