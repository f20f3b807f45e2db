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
    private static final long LEAST_ANSWER_MILLIS = 120;

    /** Most time for it: a lost packet is sent again after 200 ms, and again after 400 more. */
    private static final long MOST_ANSWER_MILLIS = 600;

    /**
     * Part of the time to a call's aim for which a dispatcher may stay silent. Long calls can wait for a packet that is
     * sent again, and the next dispatcher in order, which knows little of what runs, would place them badly.
     */
    private static final int ANSWER_PART_OF_AIM = 5;

    /** Pause after which a call that waits asks again: finds a dispatcher that died with its queue. */
    private static final long ASK_AGAIN_MILLIS = 250;

    /** Entries asked before this one decides by itself. */
    private static final int MAX_ASKED = 2;

    /** Shards that are asked at once for a call that must wait or is refused; the others get their turn as it waits. */
    private static final int SHARDS_ASKED = 2;

    /**
     * Lateness from which on this entry's own thread was held up: what came meanwhile was not read, and its answers would
     * be taken for missing.
     */
    private static final long STALLED_NANOS = Duration.ofMillis(100).toNanos();

    private final NodeSettings settings;
    private final long incarnation;
    private final PeerNetwork network;
    private final DispatcherDirectory directory;
    private final DispatchService own;
    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<String, Asking> asking = new HashMap<>();
    private final Map<String, OpenGrant> open = new HashMap<>();
    private final GrantHolders holders = new GrantHolders();
    private final Map<ServiceShard, EntryRecord> dispatchers = new HashMap<>();
    private final ReportQueue reports;
    private final Map<ServiceShard, Set<HostId>> informed = new HashMap<>();

    DispatchClient(
            NodeSettings settings,
            long incarnation,
            PeerNetwork network,
            DispatcherDirectory directory,
            DispatchService own,
            XnioExecutor thread,
            MonotonicClock clock,
            DecisionLog log) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.network = network;
        this.directory = directory;
        this.own = own;
        this.thread = thread;
        this.clock = clock;
        this.log = log;
        this.reports = new ReportQueue(settings, network, own, thread);
    }

    void register(HandlerRegistry handlers) {
        handlers.register(DispatchChannels.PLACE, call -> CompletableFuture.completedFuture(own.place(call)));
        handlers.register(DispatchChannels.REPORT, reported -> {
            own.report(reported.service(), reported.reports());
            return CompletableFuture.completedFuture(new Acknowledgement(true));
        });
        handlers.register(DispatchChannels.ADOPT, adoption -> {
            own.adopt(adoption);
            return CompletableFuture.completedFuture(new Acknowledgement(true));
        });
        handlers.register(
                DispatchChannels.DECIDED,
                decided -> CompletableFuture.completedFuture(decided(decided.dispatcher(), decided.answer())));
    }

    /** Takes a decision on a call that waited here. */
    Acknowledgement decided(HostId dispatcher, DispatchAnswer answer) {
        Asking waiting = asking.get(answer.attempt());
        if (waiting == null || answer instanceof DispatchAnswer.Queued) {
            return new Acknowledgement(waiting != null);
        }
        waiting.finish(dispatcher, answer);
        return new Acknowledgement(true);
    }

    /** Asks for a place; the answer is final and comes once, unless the call is withdrawn before. */
    void place(DispatchCall call, Consumer<DispatchAnswer> answers) {
        Asking next = new Asking(call, answers);
        asking.put(call.attempt(), next);
        next.begin();
    }

    /** The caller has left before there was a place. */
    void withdraw(DispatchCall call) {
        Asking waiting = asking.remove(call.attempt());
        if (waiting != null) {
            waiting.over = true;
            end(call, AttemptEnd.CANCELLED);
        }
    }

    /**
     * The first token, or the answer, of a granted call has come.
     *
     * @param limit what the answer says of the requests that the server takes
     */
    void writing(DispatchCall call, ServerRateLimit limit) {
        OpenGrant grant = open.get(call.attempt());
        if (grant != null && !grant.writing() && call.promptTokens() > 0) {
            open.put(call.attempt(), new OpenGrant(grant.call(), grant.granted(), true));
            AttemptReport begun = new AttemptReport(call.attempt(), null, limit);
            holders.holdersOf(call.attempt()).forEach(each -> reports.add(call.service(), each, begun));
        }
    }

    /** A granted call has ended without an answer. */
    void end(DispatchCall call, AttemptEnd end) {
        end(call, end, null);
    }

    /**
     * A granted call has ended.
     *
     * @param limit what the answer says of the requests that the server takes, null without an answer
     */
    void end(DispatchCall call, AttemptEnd end, ServerRateLimit limit) {
        open.remove(call.attempt());
        AttemptReport ended = new AttemptReport(call.attempt(), end, limit);
        holders.removeAttempt(call.attempt()).forEach(each -> reports.add(call.service(), each, ended));
    }

    /** Tells the dispatcher of each shard, where it is another one than before, what runs here. */
    void fleetChanged() {
        Set<ServiceName> services = new HashSet<>();
        dispatchers.keySet().forEach(each -> services.add(each.service()));
        services.forEach(this::fleetChanged);
    }

    /**
     * Notes who dispatches a service at the first call for it. Later changes are noted where the new dispatchers are told
     * what runs, or one that a call happens to ask first would never be told.
     */
    private void watchDispatchers(ServiceName service) {
        if (dispatchers.keySet().stream().anyMatch(each -> each.service().equals(service))) {
            return;
        }
        for (ServiceShard each : directory.shards(service)) {
            directory.order(each).stream().findFirst().ifPresent(first -> dispatchers.put(each, first));
        }
    }

    private void fleetChanged(ServiceName service) {
        List<ServiceShard> shards = directory.shards(service);
        dispatchers.keySet().removeIf(each -> each.service().equals(service) && !shards.contains(each));
        boolean changed = false;
        for (ServiceShard each : shards) {
            List<EntryRecord> order = directory.order(each);
            if (order.isEmpty()) {
                continue;
            }
            EntryRecord before = dispatchers.put(each, order.get(0));
            if (before == null || differs(order.get(0), before)) {
                adopt(each, order.get(0));
                changed = true;
            }
        }
        if (changed) {
            askAgainFor(service);
        }
    }

    /** What waits at the dispatcher before would be placed by it blindly, or not before its next turn to ask. */
    private void askAgainFor(ServiceName service) {
        for (Asking each : List.copyOf(asking.values())) {
            if (each.call.service().equals(service)) {
                each.askAgain();
            }
        }
    }

    private List<OpenGrant> openOf(ServiceShard shard) {
        return open.values().stream()
                .filter(each -> each.call().service().equals(shard.service()))
                .filter(each -> shard.shard().contains(each.granted().server()))
                .toList();
    }

    private static boolean differs(EntryRecord a, EntryRecord b) {
        return !a.host().equals(b.host()) || a.incarnation() != b.incarnation();
    }

    private void adopt(ServiceShard shard, EntryRecord dispatcher) {
        List<OpenGrant> grants = openOf(shard);
        log.line("dispatcher changed")
                .with("service", shard)
                .with("dispatcher", dispatcher.host())
                .with("open", grants.size())
                .write();
        grants.forEach(each -> leaveTo(dispatcher.host(), each.call()));
        tell(dispatcher, adoption(shard, true, grants));
    }

    private Adoption adoption(ServiceShard shard, boolean all, List<OpenGrant> grants) {
        return new Adoption(
                shard.service(),
                shard.shard(),
                settings.host(),
                incarnation,
                all,
                grants,
                own.limits().all());
    }

    private void tell(EntryRecord dispatcher, Adoption adoption) {
        if (dispatcher.host().equals(settings.host())) {
            own.adopt(adoption);
            return;
        }
        // What it was told to forget before must not end what it is told of now.
        reports.send();
        network.call(dispatcher.peers(), DispatchChannels.ADOPT, adoption, ReportQueue.TIMEOUT);
    }

    /**
     * Tells a dispatcher that is asked in place of the first one what runs here, once for each time that the first one is
     * passed over. Knowing nothing, it would fill engines that are full. From all entries it has the whole within some calls of each.
     */
    private void inform(ServiceShard shard, EntryRecord dispatcher) {
        if (!informed.computeIfAbsent(shard, each -> new HashSet<>()).add(dispatcher.host())) {
            return;
        }
        List<OpenGrant> grants = openOf(shard);
        grants.forEach(each -> holders.addHolder(each.call().attempt(), dispatcher.host()));
        tell(dispatcher, adoption(shard, true, grants));
    }

    /** Leaves an attempt to one dispatcher, and has the others forget it. */
    private void leaveTo(HostId dispatcher, DispatchCall call) {
        forget(call.service(), holders.retainOnly(call.attempt(), dispatcher), call);
    }

    /** Tells dispatchers that an attempt is none of theirs any more; it runs or waits on. */
    private void forget(ServiceName service, List<HostId> dispatchers, DispatchCall call) {
        AttemptReport gone = new AttemptReport(call.attempt(), AttemptEnd.CANCELLED);
        dispatchers.forEach(each -> reports.add(service, each, gone));
    }

    /** A dispatcher to ask: a shard, and the entry that decides for it. */
    private record Target(ServiceShard shard, EntryRecord entry) {}

    /** One call on its way to a place. */
    private final class Asking {
        private final DispatchCall call;
        private final Consumer<DispatchAnswer> answers;
        private final List<HostId> passedOver = new ArrayList<>();
        private final Set<ServiceShard> answeredBy = new HashSet<>();
        private List<ServiceShard> shards = List.of();
        private XnioExecutor.Key nextAsk;
        private boolean waits;
        private boolean over;

        Asking(DispatchCall call, Consumer<DispatchAnswer> answers) {
            this.call = call;
            this.answers = answers;
        }

        /** Begins to ask: the shards in another order each time, so that a call that waits tries one after the other. */
        void begin() {
            shards = directory.shardsToAsk(call.service());
            watchDispatchers(call.service());
            passedOver.clear();
            answeredBy.clear();
            waits = false;
            ask();
        }

        private void ask() {
            if (over) {
                return;
            }
            Target to = next();
            if (to == null) {
                ServiceShard own = shards.get(0);
                holders.addHolder(call.attempt(), settings.host());
                take(own, settings.host(), DispatchClient.this.own.place(call.withShard(own.shard())));
                return;
            }
            ask(to);
        }

        private void ask(Target to) {
            HostId dispatcher = to.entry().host();
            if (!dispatcher.equals(directory.order(to.shard()).get(0).host())) {
                inform(to.shard(), to.entry());
            }
            holders.addHolder(call.attempt(), dispatcher);
            DispatchCall asked = call.withShard(to.shard().shard());
            if (dispatcher.equals(settings.host())) {
                take(to.shard(), dispatcher, own.place(asked));
                return;
            }
            long askedAt = clock.nanos();
            network.call(to.entry().peers(), DispatchChannels.PLACE, asked, patience())
                    .thenAccept(result -> answered(to, askedAt, result));
        }

        private void answered(Target to, long askedAt, CallResult<DispatchAnswer> result) {
            if (over) {
                return;
            }
            HostId dispatcher = to.entry().host();
            if (result instanceof CallResult.Answered<DispatchAnswer> answered) {
                directory.trust(dispatcher);
                take(to.shard(), dispatcher, answered.value());
            } else if (clock.nanos() - askedAt > patience().toNanos() + STALLED_NANOS) {
                log.line("stalled while asking").with("attempt", call.attempt()).write();
                ask();
            } else {
                passOver(dispatcher);
            }
        }

        private Duration patience() {
            long part = call.aimLeftMillis() / ANSWER_PART_OF_AIM;
            return Duration.ofMillis(Math.max(LEAST_ANSWER_MILLIS, Math.min(MOST_ANSWER_MILLIS, part)));
        }

        /**
         * The first dispatcher of each shard, which knows all that runs there, goes before the second one of any. Null
         * where this entry is to decide by itself.
         */
        private Target next() {
            if (passedOver.size() >= MAX_ASKED) {
                return null;
            }
            Target first = nextFirst();
            if (first != null) {
                return first;
            }
            for (EntryRecord each : directory.order(shards.get(0))) {
                if (mayAsk(each)) {
                    return new Target(shards.get(0), each);
                }
            }
            return null;
        }

        /** The first dispatcher of a shard that has not answered yet; null where none may be asked. */
        private Target nextFirst() {
            for (ServiceShard each : shards) {
                List<EntryRecord> order = directory.order(each);
                if (!answeredBy.contains(each) && !order.isEmpty() && mayAsk(order.get(0))) {
                    return new Target(each, order.get(0));
                }
            }
            return null;
        }

        private boolean mayAsk(EntryRecord dispatcher) {
            return !directory.isDoubted(dispatcher.host()) && !passedOver.contains(dispatcher.host());
        }

        private void passOver(HostId dispatcher) {
            log.line("dispatcher passed over")
                    .with("attempt", call.attempt())
                    .with("service", call.service())
                    .with("dispatcher", dispatcher)
                    .write();
            if (!directory.isDoubted(dispatcher)) {
                // What was told of this entry's calls before is old by now.
                shards.forEach(informed::remove);
            }
            directory.doubt(dispatcher);
            passedOver.add(dispatcher);
            // It may have granted a place all the same.
            holders.removeHolder(call.attempt(), dispatcher);
            forget(call.service(), List.of(dispatcher), call);
            if (waits) {
                askLater();
            } else {
                ask();
            }
        }

        private void take(ServiceShard shard, HostId dispatcher, DispatchAnswer answer) {
            if (isFinal(answer)) {
                finish(dispatcher, answer);
                return;
            }
            if (answer instanceof DispatchAnswer.Queued) {
                // Left in the queue of the dispatcher before, a prompt would be placed by it when that has been told to
                // forget all that runs, on engines in use.
                leaveTo(dispatcher, call);
                waits = true;
            }
            answeredBy.add(shard);
            Target other = answeredBy.size() < SHARDS_ASKED ? nextFirst() : null;
            if (other != null) {
                ask(other);
            } else if (waits) {
                askLater();
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

        private void askLater() {
            if (nextAsk != null) {
                nextAsk.remove();
            }
            nextAsk = thread.executeAfter(this::askAgain, ASK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
        }

        /** Asks anew, perhaps another dispatcher by now; the place in the queue of the last one is kept until then. */
        private void askAgain() {
            if (!over) {
                begin();
            }
        }

        void finish(HostId dispatcher, DispatchAnswer answer) {
            if (over) {
                return;
            }
            over = true;
            asking.remove(call.attempt());
            leaveTo(dispatcher, call);
            if (answer instanceof DispatchAnswer.Granted granted) {
                open.put(call.attempt(), new OpenGrant(call, granted, false));
                tellFirst(dispatcher, granted);
            } else {
                holders.removeAttempt(call.attempt());
            }
            answers.accept(answer);
        }

        /** The dispatcher that all ask first must count what another one has granted. */
        private void tellFirst(HostId dispatcher, DispatchAnswer.Granted granted) {
            ServiceShard shard = directory.shardOf(call.service(), granted.server());
            List<EntryRecord> order = directory.order(shard);
            if (order.isEmpty() || order.get(0).host().equals(dispatcher)) {
                return;
            }
            holders.addHolder(call.attempt(), order.get(0).host());
            tell(order.get(0), adoption(shard, false, List.of(open.get(call.attempt()))));
        }
    }
}
