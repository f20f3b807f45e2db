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
 * Submits and reads the routing table from any control host, through the leader. A request times out within the second
 * in which an operator expects an answer, and the result says so: another control host may reach the leader.
 * Thread-safe.
 */
public final class RoutingService {
    /** An operator waits one second for an answer; the rest of it is for the network. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(850);

    private static final long RETRY_DELAY_MILLIS = 40;

    private final RoutingStore store;
    private final Supplier<Address> leaderAddress;
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
        this.leaderAddress = leader;
        this.network = network;
        this.timer = timer;
        this.clock = clock;
        this.log = log;
    }

    void register(HandlerRegistry handlers) {
        handlers.register(RegistryChannels.SUBMIT_ROUTING, store::submit);
        handlers.register(RegistryChannels.READ_ROUTING, query -> store.read());
        handlers.register(RegistryChannels.FETCH_ROUTING, query -> CompletableFuture.completedFuture(store.current()));
    }

    /** Puts a valid document in force, unless one with the same or a higher version is. */
    public CompletableFuture<RoutingSubmitResult> submit(RoutingSubmission submit) {
        LeaderRequest<RoutingSubmission, RoutingSubmitResult> attempts = new LeaderRequest<>(
                RegistryChannels.SUBMIT_ROUTING,
                submit,
                store::submit,
                each -> each == RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.UNKNOWN);
        attempts.attempt();
        return attempts.completion.whenComplete((outcome, failure) -> log.line("routing submitted")
                .with("version", submit.version())
                .with("outcome", outcome)
                .with("heldVersion", store.currentVersion())
                .with("leader", leaderAddress.get())
                .write());
    }

    /** Reads the newest document; {@link RoutingText#UNKNOWN} when no leader can be reached. */
    public CompletableFuture<RoutingText> read() {
        LeaderRequest<RoutingQuery, RoutingText> attempts = new LeaderRequest<>(
                RegistryChannels.READ_ROUTING,
                new RoutingQuery(),
                query -> store.read(),
                each -> !each.known(),
                RoutingText.UNKNOWN,
                RoutingText.UNKNOWN);
        attempts.attempt();
        return attempts.completion;
    }

    /** Sends a request to the leader, which may be this host, and retries while there is none. */
    private final class LeaderRequest<Q, R> {
        private final CompletableFuture<R> completion = new CompletableFuture<>();
        private final Channel<Q, R> channel;
        private final Q request;
        private final Function<Q, CompletionStage<R>> localHandler;
        private final Function<R, Boolean> isNotLeader;
        private final R noLeaderResult;
        private final long deadlineNanos = clock.nanos() + REQUEST_TIMEOUT.toNanos();

        LeaderRequest(
                Channel<Q, R> channel,
                Q request,
                Function<Q, CompletionStage<R>> here,
                Function<R, Boolean> notLeader,
                R noLeader,
                R unknown) {
            this.channel = channel;
            this.request = request;
            this.localHandler = here;
            this.isNotLeader = notLeader;
            this.noLeaderResult = noLeader;
            completion.completeOnTimeout(unknown, REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }

        void attempt() {
            Address to = leaderAddress.get();
            if (to == null) {
                retryLater(noLeaderResult);
                return;
            }
            Duration left = Duration.ofNanos(Math.max(1_000_000, deadlineNanos - clock.nanos()));
            localHandler.apply(request).thenAccept(result -> {
                if (isNotLeader.apply(result)) {
                    network.call(to, channel, request, left).thenAccept(this::onAnswer);
                } else {
                    completion.complete(result);
                }
            });
        }

        private void onAnswer(CallResult<R> result) {
            if (result instanceof CallResult.Answered<R> answered) {
                if (isNotLeader.apply(answered.value())) {
                    retryLater(answered.value());
                } else {
                    completion.complete(answered.value());
                }
            } else if (result instanceof CallResult.NotSent<R>) {
                retryLater(noLeaderResult);
            }
            // Sent without an answer: the request may have taken effect, so it is left to time out with an unknown
            // result.
        }

        private void retryLater(R otherwise) {
            if (deadlineNanos - clock.nanos() < TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS)) {
                completion.complete(otherwise);
                return;
            }
            timer.schedule(this::attempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
