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
 * in which an operator expects an answer, and its result then shows that no leader answered: another control host may
 * reach the leader. Thread-safe.
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
            Supplier<Address> leaderAddress,
            PeerNetwork network,
            ScheduledExecutorService timer,
            MonotonicClock clock,
            DecisionLog log) {
        this.store = store;
        this.leaderAddress = leaderAddress;
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
    public CompletableFuture<RoutingSubmitResult> submit(RoutingSubmission submission) {
        LeaderRequest<RoutingSubmission, RoutingSubmitResult> leaderRequest = new LeaderRequest<>(
                RegistryChannels.SUBMIT_ROUTING,
                submission,
                store::submit,
                each -> each == RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.NOT_LEADER,
                RoutingSubmitResult.UNKNOWN);
        leaderRequest.attempt();
        return leaderRequest.completion.whenComplete((outcome, failure) -> log.line("routing submitted")
                .with("version", submission.version())
                .with("outcome", outcome)
                .with("heldVersion", store.currentVersion())
                .with("leader", leaderAddress.get())
                .write());
    }

    /** Reads the newest document; {@link RoutingText#UNKNOWN} when no leader can be reached. */
    public CompletableFuture<RoutingText> read() {
        LeaderRequest<RoutingQuery, RoutingText> leaderRequest = new LeaderRequest<>(
                RegistryChannels.READ_ROUTING,
                new RoutingQuery(),
                query -> store.read(),
                each -> !each.known(),
                RoutingText.UNKNOWN,
                RoutingText.UNKNOWN);
        leaderRequest.attempt();
        return leaderRequest.completion;
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
                Function<Q, CompletionStage<R>> localHandler,
                Function<R, Boolean> isNotLeader,
                R noLeaderResult,
                R unknownResult) {
            this.channel = channel;
            this.request = request;
            this.localHandler = localHandler;
            this.isNotLeader = isNotLeader;
            this.noLeaderResult = noLeaderResult;
            completion.completeOnTimeout(unknownResult, REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }

        void attempt() {
            Address leader = leaderAddress.get();
            if (leader == null) {
                retryLater(noLeaderResult);
                return;
            }
            Duration remaining = Duration.ofNanos(Math.max(1_000_000, deadlineNanos - clock.nanos()));
            localHandler.apply(request).thenAccept(result -> {
                if (isNotLeader.apply(result)) {
                    network.call(leader, channel, request, remaining).thenAccept(this::onAnswer);
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

        private void retryLater(R fallback) {
            if (deadlineNanos - clock.nanos() < TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MILLIS)) {
                completion.complete(fallback);
                return;
            }
            timer.schedule(this::attempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
