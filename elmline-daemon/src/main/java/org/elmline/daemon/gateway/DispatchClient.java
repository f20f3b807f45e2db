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
import java.util.function.Function;
import java.util.function.Predicate;

import org.elmline.core.common.BackendServerId;
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
import org.elmline.core.dispatch.ServerNotice;
import org.elmline.core.dispatch.ServiceShard;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.EntryRecord;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.xnio.XnioExecutor;

/**
 * Requests places from the dispatcher of a service, on whichever entry it runs. One that does not answer in time is
 * passed over for a while and the next entry in order is tried; after {@link #MAX_DISPATCHERS_TRIED} this entry decides
 * from its own, incomplete state: a worse place is better than none. Used on the I/O thread only.
 */
final class DispatchClient {
    /** Shortest time-out of a request: a hundred round trips, and less than the aim of a short call allows. */
    private static final long MIN_ANSWER_TIMEOUT_MILLIS = 120;

    /** Longest time-out of a request: TCP retransmits a lost packet after 200 ms, and again after 400 ms more. */
    private static final long MAX_ANSWER_TIMEOUT_MILLIS = 600;

    /**
     * The time-out is the time to a call's aim divided by this. Long calls can wait for a retransmitted packet, and the
     * next dispatcher in order, which has little of the state of running calls, would place them badly.
     */
    private static final int ANSWER_TIMEOUT_DIVISOR = 5;

    /** Interval at which a waiting call repeats its request, in case its dispatcher has failed and lost its queue. */
    private static final long REPEAT_REQUEST_MILLIS = 250;

    /** Dispatchers that may fail to answer before this entry decides by itself. */
    private static final int MAX_DISPATCHERS_TRIED = 2;

    /** Shards tried at once for a call that must wait or is refused; the others follow while it waits. */
    private static final int MAX_SHARDS_REQUESTED = 2;

    /**
     * Delay beyond the time-out from which on this entry's own thread is treated as stalled. Messages that arrived
     * meanwhile have not been read, so a missing answer is no sign of a failed dispatcher.
     */
    private static final long STALL_THRESHOLD_NANOS = Duration.ofMillis(100).toNanos();

    private final NodeSettings settings;
    private final PeerNetwork network;
    private final DispatcherDirectory directory;
    private final Function<DispatchCall, List<BackendServerId>> restrictedServers;
    private final DispatchService localDispatch;
    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<String, PendingPlacement> pendingPlacements = new HashMap<>();
    private final GrantReporter grants;
    private final Map<ServiceShard, EntryRecord> firstDispatchers = new HashMap<>();
    private final Map<ServiceShard, Set<HostId>> informedDispatchers = new HashMap<>();

    /** @param restrictedServers servers that this entry may not send a call to now, or does not want to */
    DispatchClient(
            NodeSettings settings,
            long incarnation,
            PeerNetwork network,
            DispatcherDirectory directory,
            Function<DispatchCall, List<BackendServerId>> restrictedServers,
            DispatchService localDispatch,
            XnioExecutor thread,
            MonotonicClock clock,
            DecisionLog log) {
        this.settings = settings;
        this.network = network;
        this.directory = directory;
        this.restrictedServers = restrictedServers;
        this.localDispatch = localDispatch;
        this.thread = thread;
        this.clock = clock;
        this.log = log;
        this.grants = new GrantReporter(settings, incarnation, network, localDispatch, thread);
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

    /** Receives the decision on a queued call; {@code known} is false when it is not pending here. */
    Acknowledgement onDecision(HostId dispatcher, DispatchAnswer answer) {
        PendingPlacement pending = pendingPlacements.get(answer.attempt());
        if (pending == null || answer instanceof DispatchAnswer.Queued) {
            return new Acknowledgement(pending != null);
        }
        pending.finish(dispatcher, answer);
        return new Acknowledgement(true);
    }

    /** Requests a place. The callback runs once with the final answer, or never if the call is withdrawn before. */
    void place(DispatchCall call, Consumer<DispatchAnswer> callback) {
        PendingPlacement placement = new PendingPlacement(call, callback);
        pendingPlacements.put(call.attempt(), placement);
        placement.start();
    }

    /** Withdraws a call that has no place yet. */
    void withdraw(DispatchCall call) {
        PendingPlacement pending = pendingPlacements.remove(call.attempt());
        if (pending != null) {
            pending.finished = true;
            reportEnd(call, AttemptEnd.CANCELLED);
        }
    }

    /** Reports the first token of a granted call; {@code notice} is what its server states about itself. */
    void reportFirstToken(DispatchCall call, ServerNotice notice) {
        grants.reportFirstToken(call, notice);
    }

    /** Reports the end of a call that got no answer, whether it was granted a place or not. */
    void reportEnd(DispatchCall call, AttemptEnd end) {
        reportEnd(call, end, null);
    }

    /** Reports the end of a call; {@code notice} is what its server states about itself, null without an answer. */
    void reportEnd(DispatchCall call, AttemptEnd end, ServerNotice notice) {
        grants.reportEnd(call, AttemptReport.of(call.attempt(), end, notice));
    }

    /** Reports that the server of a granted call has been silent for too long; the call goes on there. */
    void reportSilence(DispatchCall call) {
        grants.reportProgress(call, AttemptReport.silence(call.attempt()));
    }

    /** Reports a failed attempt; {@code faultyHelper} is the helper because of which it was refused, or null. */
    void reportFailure(DispatchCall call, AttemptEnd end, ServerNotice notice, BackendServerId faultyHelper) {
        grants.reportEnd(call, AttemptReport.of(call.attempt(), end, notice).withFaultyHelper(faultyHelper));
    }

    /** Number of granted calls with a server that matches, a helper included. */
    int countOpen(Predicate<BackendServerId> servers) {
        return grants.countOpen(servers);
    }

    /** Sends this entry's open grants to the dispatcher of each shard whose dispatcher has changed. */
    void onDeploymentChanged() {
        Set<ServiceName> services = new HashSet<>();
        firstDispatchers.keySet().forEach(each -> services.add(each.service()));
        services.forEach(this::onDeploymentChanged);
    }

    /**
     * Records the dispatchers of a service at its first call. Later changes are recorded only where the new dispatchers
     * get the open grants: a new one that was recorded by a placement request would never get them.
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
                handOver(each, order.get(0));
                changed = true;
            }
        }
        if (changed) {
            repeatRequests(service);
        }
    }

    /** Repeats waiting requests; else the former dispatcher places them without state, or the new one only later. */
    private void repeatRequests(ServiceName service) {
        for (PendingPlacement each : List.copyOf(pendingPlacements.values())) {
            if (each.call.service().equals(service)) {
                each.repeat();
            }
        }
    }

    private void handOver(ServiceShard shard, EntryRecord dispatcher) {
        int open = grants.handOver(shard, dispatcher);
        log.line("dispatcher changed")
                .with("service", shard)
                .with("dispatcher", dispatcher.host())
                .with("open", open)
                .write();
    }

    /**
     * Sends the open grants to a dispatcher used in place of the first one, once each time the first one is passed
     * over. Without them it would place calls on full engines. It has all entries' grants within a few calls of each.
     */
    private void informReplacement(ServiceShard shard, EntryRecord dispatcher) {
        if (informedDispatchers.computeIfAbsent(shard, each -> new HashSet<>()).add(dispatcher.host())) {
            grants.sendAll(shard, dispatcher);
        }
    }

    private static boolean isOtherProcess(EntryRecord a, EntryRecord b) {
        return !a.host().equals(b.host()) || a.incarnation() != b.incarnation();
    }

    /** Where to send a placement request: a shard, and the entry that decides for it. */
    private record Target(ServiceShard shard, EntryRecord entry) {}

    /** One call that has no place yet. */
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

        /** Starts a round, with the shards in another order each time, so that a waiting call tries them all. */
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
                grants.addHolder(call, settings.host());
                handleAnswer(shard, settings.host(), localDispatch.place(requestTo(shard)));
                return;
            }
            request(target);
        }

        private void request(Target target) {
            HostId dispatcher = target.entry().host();
            if (!dispatcher.equals(directory.byPreference(target.shard()).get(0).host())) {
                informReplacement(target.shard(), target.entry());
            }
            grants.addHolder(call, dispatcher);
            DispatchCall request = requestTo(target.shard());
            if (dispatcher.equals(settings.host())) {
                handleAnswer(target.shard(), dispatcher, localDispatch.place(request));
                return;
            }
            long sentAtNanos = clock.nanos();
            network.call(target.entry().peers(), DispatchChannels.PLACE, request, answerTimeout())
                    .thenAccept(result -> onAnswer(target, sentAtNanos, result));
        }

        private DispatchCall requestTo(ServiceShard shard) {
            return call.withShard(shard.shard()).alsoAvoiding(restrictedServers.apply(call));
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
                log.line("thread stalled").with("attempt", call.attempt()).write();
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
         * Returns the next dispatcher to try. The first dispatcher of every shard, which has the state of all that
         * runs there, comes before the second one of any. Null where this entry is to decide by itself.
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

        /** The first dispatcher of a shard that has not answered yet; null where none is available. */
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
                // The open grants that were sent at an earlier failure are outdated.
                shards.forEach(informedDispatchers::remove);
            }
            directory.suspect(dispatcher);
            skippedDispatchers.add(dispatcher);
            grants.cancelAt(dispatcher, call);
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
                // The former dispatcher must not place the call: it has received cancellations of all running attempts
                // and so treats engines in use as free.
                grants.retainOnly(dispatcher, call);
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

        /** Whether no other shard is to be tried; the retry budget is one for all shards. */
        private static boolean isFinal(DispatchAnswer answer) {
            // A shard that is full or has no server says nothing about the others.
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

        /** Repeats the request, perhaps at another dispatcher; the place in the last queue is kept until then. */
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
            grants.retainOnly(dispatcher, call);
            if (answer instanceof DispatchAnswer.Granted granted) {
                grants.addGrant(call, granted);
                notifyFirstDispatcher(dispatcher, granted);
            } else {
                grants.removeRefused(call);
            }
            callback.accept(answer);
        }

        /** Reports a grant by another dispatcher to the shard's first dispatcher, which must count it. */
        private void notifyFirstDispatcher(HostId dispatcher, DispatchAnswer.Granted granted) {
            ServiceShard shard = directory.shardOf(call.service(), granted.server());
            List<EntryRecord> order = directory.byPreference(shard);
            if (order.isEmpty() || order.get(0).host().equals(dispatcher)) {
                return;
            }
            grants.sendOne(shard, order.get(0), call);
        }
    }
}
