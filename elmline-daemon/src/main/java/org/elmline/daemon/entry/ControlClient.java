package org.elmline.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;

/**
 * Calls the control leader and finds it where necessary. All calls on the control channels are idempotent, so a call
 * without an answer is retried at the next control host until its timeout. Thread-safe.
 */
public final class ControlClient {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1000);
    private static final long RETRY_DELAY_MILLIS = 50;

    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final ScheduledExecutorService timer;
    private final List<Address> seeds;
    private volatile List<Address> hosts;
    private volatile Address preferredHost;

    public ControlClient(
            PeerNetwork network, MonotonicClock clock, ScheduledExecutorService timer, List<Address> seeds) {
        this.network = network;
        this.clock = clock;
        this.timer = timer;
        this.seeds = List.copyOf(seeds);
        this.hosts = this.seeds;
        this.preferredHost = this.seeds.get(0);
    }

    /** Sets the control hosts that a lease answer lists. Those of the settings are kept as a fallback. */
    void updateHosts(List<Address> current) {
        List<Address> all = new ArrayList<>(current);
        for (Address seed : seeds) {
            if (!all.contains(seed)) {
                all.add(seed);
            }
        }
        hosts = List.copyOf(all);
    }

    /**
     * Completes with the leader's answer. After the timeout it completes with {@link CallResult.Unknown} when the
     * result of any attempt is unknown, and with {@link CallResult.NotSent} otherwise.
     */
    <Q, R> CompletableFuture<CallResult<R>> call(
            Channel<Q, R> channel, Q request, Duration timeout, LeaderHint<R> hint) {
        long deadlineNanos = clock.nanos() + timeout.toNanos();
        CompletableFuture<CallResult<R>> result = new CompletableFuture<>();
        new RetryingCall<>(channel, request, hint, deadlineNanos, result).attempt(preferredHost);
        return result;
    }

    private final class RetryingCall<Q, R> {
        private final Channel<Q, R> channel;
        private final Q request;
        private final LeaderHint<R> hint;
        private final long deadlineNanos;
        private final CompletableFuture<CallResult<R>> result;
        private boolean maybeSent;

        RetryingCall(
                Channel<Q, R> channel,
                Q request,
                LeaderHint<R> hint,
                long deadlineNanos,
                CompletableFuture<CallResult<R>> result) {
            this.channel = channel;
            this.request = request;
            this.hint = hint;
            this.deadlineNanos = deadlineNanos;
            this.result = result;
        }

        void attempt(Address host) {
            long remainingNanos = deadlineNanos - clock.nanos();
            if (remainingNanos <= 0) {
                result.complete(maybeSent ? new CallResult.Unknown<>("no answer in time") : noLeader());
                return;
            }
            Duration timeout = Duration.ofNanos(Math.min(remainingNanos, ATTEMPT_TIMEOUT.toNanos()));
            network.call(host, channel, request, timeout).thenAccept(answer -> onAnswer(host, answer));
        }

        private void onAnswer(Address host, CallResult<R> answer) {
            if (!(answer instanceof CallResult.Answered<R> answered)) {
                maybeSent |= answer instanceof CallResult.Unknown;
                retryLater(nextHost(host));
                return;
            }
            LeaderHint.Redirect redirect = hint.redirect(answered.value());
            if (!redirect.required()) {
                preferredHost = host;
                result.complete(answer);
                return;
            }
            Optional<Address> leader = redirect.leader().filter(each -> !each.equals(host));
            if (leader.isPresent()) {
                attempt(leader.get());
                return;
            }
            retryLater(nextHost(host));
        }

        /** Retries after a delay, so that a cluster without a leader is not flooded with requests. */
        private void retryLater(Address host) {
            preferredHost = host;
            if (timer.isShutdown()) {
                result.complete(noLeader());
                return;
            }
            timer.schedule(() -> attempt(host), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }

        private CallResult<R> noLeader() {
            return new CallResult.NotSent<>("no control host could be reached");
        }
    }

    private Address nextHost(Address host) {
        List<Address> all = hosts;
        return all.get((all.indexOf(host) + 1) % all.size());
    }
}
