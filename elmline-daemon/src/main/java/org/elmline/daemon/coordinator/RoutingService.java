package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.RegistryChannels;
import org.elmline.core.registry.RegistryChannels.RoutingQuery;
import org.elmline.core.registry.RegistryChannels.RoutingSubmission;
import org.elmline.core.registry.RegistryChannels.RoutingSubmitResult;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.daemon.log.DecisionLog;

/**
 * Submits and reads the routing table at any control host, by way of the leader. Gives up within a second, in which an
 * operator expects an answer, and then says so: another host may do better.
 */
public final class RoutingService {
    /** An operator waits a second for an answer; the rest is for the way. */
    private static final Duration TIME = Duration.ofMillis(850);

    private static final long RETRY_MILLIS = 40;

    private final RoutingStore store;
    private final Supplier<Address> leader;
    private final PeerNetwork network;
    private final ScheduledExecutorService timer;
    private final MonotonicClock clock;
    private final DecisionLog log;

    RoutingService(
            RoutingStore store,
            Supplier<Address> leader,
            PeerNetwork network,
            ScheduledExecutorService timer,
            MonotonicClock clock,
            DecisionLog log) {
        this.store = store;
        this.leader = leader;
        this.network = network;
        this.timer = timer;
        this.clock = clock;
        this.log = log;
    }

    void register(HandlerRegistry handlers) {
        handlers.register(RegistryChannels.SUBMIT_ROUTING, store::submit);
        handlers.register(RegistryChannels.READ_ROUTING, query -> store.read());
        handlers.register(RegistryChannels.FETCH_ROUTING, query -> CompletableFuture.completedFuture(store.held()));
    }

    /** Puts a valid document in force, unless one of its version or a higher one is. */
    public CompletableFuture<RoutingSubmitResult> submit(RoutingSubmission submit) {
        Attempts<RoutingSubmission, RoutingSubmitResult> attempts = new Attempts<>(
                RegistryChannels.SUBMIT_ROUTING,
                submit,
                store::submit,
                each -> each == RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.UNKNOWN);
        attempts.next();
        return attempts.done.whenComplete((outcome, failure) -> log.line("routing submitted")
                .with("version", submit.version())
                .with("outcome", outcome)
                .with("heldVersion", store.heldVersion())
                .with("leader", leader.get())
                .write());
    }

    /** Reads the newest document; unknown where no leader can be asked. */
    public CompletableFuture<RoutingText> read() {
        Attempts<RoutingQuery, RoutingText> attempts = new Attempts<>(
                RegistryChannels.READ_ROUTING,
                new RoutingQuery(),
                query -> store.read(),
                each -> !each.known(),
                RoutingText.UNKNOWN,
                RoutingText.UNKNOWN);
        attempts.next();
        return attempts.done;
    }

    /** Asks the leader, here or elsewhere, again while there is none. */
    private final class Attempts<Q, R> {
        private final CompletableFuture<R> done = new CompletableFuture<>();
        private final Channel<Q, R> channel;
        private final Q request;
        private final Function<Q, CompletionStage<R>> here;
        private final Function<R, Boolean> notLeader;
        private final R noLeader;
        private final long until = clock.nanos() + TIME.toNanos();

        Attempts(
                Channel<Q, R> channel,
                Q request,
                Function<Q, CompletionStage<R>> here,
                Function<R, Boolean> notLeader,
                R noLeader,
                R unknown) {
            this.channel = channel;
            this.request = request;
            this.here = here;
            this.notLeader = notLeader;
            this.noLeader = noLeader;
            done.completeOnTimeout(unknown, TIME.toMillis(), TimeUnit.MILLISECONDS);
        }

        void next() {
            Address to = leader.get();
            if (to == null) {
                later(noLeader);
                return;
            }
            Duration left = Duration.ofNanos(Math.max(1_000_000, until - clock.nanos()));
            here.apply(request).thenAccept(result -> {
                if (notLeader.apply(result)) {
                    network.call(to, channel, request, left).thenAccept(this::take);
                } else {
                    done.complete(result);
                }
            });
        }

        private void take(CallResult<R> result) {
            if (result instanceof CallResult.Answered<R> answered) {
                if (notLeader.apply(answered.value())) {
                    later(answered.value());
                } else {
                    done.complete(answered.value());
                }
            } else if (result instanceof CallResult.NotSent<R>) {
                later(noLeader);
            }
            // Sent and not answered: the time runs out, as it may have taken effect.
        }

        private void later(R otherwise) {
            if (until - clock.nanos() < TimeUnit.MILLISECONDS.toNanos(RETRY_MILLIS)) {
                done.complete(otherwise);
                return;
            }
            timer.schedule(this::next, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
