package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.peer.PeerNetwork;

/** Sends requests to the leader, which may be this host, and retries while there is none. Thread-safe. */
final class LeaderClient {
    private static final long RETRY_DELAY_MILLIS = 40;
    private static final long MIN_CALL_NANOS = 1_000_000;

    private final Supplier<Address> leaderAddress;
    private final PeerNetwork network;
    private final ScheduledExecutorService timer;
    private final MonotonicClock clock;

    /** @param leaderAddress peer address of the leader, null when none is known */
    LeaderClient(
            Supplier<Address> leaderAddress,
            PeerNetwork network,
            ScheduledExecutorService timer,
            MonotonicClock clock) {
        this.leaderAddress = leaderAddress;
        this.network = network;
        this.timer = timer;
        this.clock = clock;
    }

    /** Peer address of the leader, null when none is known. */
    Address leader() {
        return leaderAddress.get();
    }

    /** Sends a request; completes normally in every case and within the time-out. */
    <Q, R> CompletableFuture<R> send(LeaderCall<Q, R> call, Duration timeout) {
        PendingCall<Q, R> pending = new PendingCall<>(call, timeout);
        pending.attempt();
        return pending.completion;
    }

    private final class PendingCall<Q, R> {
        private final CompletableFuture<R> completion = new CompletableFuture<>();
        private final LeaderCall<Q, R> call;
        private final long deadlineNanos;

        PendingCall(LeaderCall<Q, R> call, Duration timeout) {
            this.call = call;
            this.deadlineNanos = clock.nanos() + timeout.toNanos();
            completion.completeOnTimeout(call.unknownResult(), timeout.toMillis(), TimeUnit.MILLISECONDS);
        }

        void attempt() {
            Address leader = leaderAddress.get();
            if (leader == null) {
                retryLater(call.noLeaderResult());
                return;
            }
            Duration remaining = Duration.ofNanos(Math.max(MIN_CALL_NANOS, deadlineNanos - clock.nanos()));
            call.localHandler().apply(call.request()).thenAccept(result -> {
                if (call.isNotLeader().test(result)) {
                    network.call(leader, call.channel(), call.request(), remaining)
                            .thenAccept(this::onAnswer);
                } else {
                    completion.complete(result);
                }
            });
        }

        private void onAnswer(CallResult<R> result) {
            if (result instanceof CallResult.Answered<R> answered) {
                if (call.isNotLeader().test(answered.value())) {
                    retryLater(answered.value());
                } else {
                    completion.complete(answered.value());
                }
            } else if (result instanceof CallResult.NotSent<R>) {
                retryLater(call.noLeaderResult());
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
