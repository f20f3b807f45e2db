package org.elmline.daemon.service;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.config.Service;
import org.elmline.core.control.ClaimReply;
import org.elmline.core.control.ClaimSession;
import org.elmline.core.control.ClaimStep;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.core.stream.RetryBudget;
import org.elmline.daemon.entry.ControlCalls;

/** Forwards calls to plain services: repeatable ones with retries, the others under a claim. Thread-safe. */
public final class ServiceGateway implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 3;
    private static final double RETRY_RATIO = 0.1;
    private static final double RETRY_BURST = 10;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final ReplicaSelector replicas;
    private final ControlCalls control;
    private final ServiceClient client = new ServiceClient();
    private final RetryBudget retryBudget = new RetryBudget(RETRY_RATIO, RETRY_BURST);
    private final Counter claimsSent;
    private final Counter claimsRepeated;
    private final Counter retries;

    public ServiceGateway(
            MonotonicClock clock,
            org.elmline.core.route.OwnerTable owners,
            ControlCalls control,
            MetricRegistry metrics) {
        this.clock = clock;
        this.replicas = new ReplicaSelector(owners, clock);
        this.control = control;
        this.claimsSent = metrics.counter("service.claims.sent");
        this.claimsRepeated = metrics.counter("service.claims.repeated");
        this.retries = metrics.counter("service.retries");
    }

    /** Sends a repeatable call; tries up to two other replicas while the time and the retry budget last. */
    ClaimReply callRepeatable(Service service, ServiceCall call, long deadlineNanos) {
        retryBudget.onFirstAttempt();
        Set<BackendServerId> tried = new HashSet<>();
        CallResult<RecordedAnswer> result = new CallResult.NotSent<>("no replica of " + service.name() + " is ready");
        for (int i = 0; i < MAX_ATTEMPTS && remainingMillis(deadlineNanos) > 0; i++) {
            Optional<ReplicaSelector.AcquiredReplica> acquired = replicas.acquire(service.name(), tried);
            if (acquired.isEmpty() || (i > 0 && !retryBudget.tryAcquire())) {
                acquired.ifPresent(ReplicaSelector.AcquiredReplica::close);
                break;
            }
            retries.inc(i > 0 ? 1 : 0);
            tried.add(acquired.get().replica().server());
            result = send(acquired.get(), service, call, deadlineNanos);
            if (result instanceof CallResult.Answered<RecordedAnswer> answered) {
                return new ClaimReply.Answered(answered.value(), false);
            }
        }
        return toRefusal(result);
    }

    /**
     * Sends a call that may run at most once. Executes the session's steps in order, so that the call is sent only
     * after a quorum has committed the claim, and to another replica only when it did not run. The reply is delivered as
     * soon as it is known.
     */
    void callOnce(
            Service service, ServiceCall call, ClaimSession session, long deadlineNanos, Consumer<ClaimReply> reply) {
        ClaimStep step = session.start();
        while (true) {
            if (step instanceof ClaimStep.Begin begin) {
                Duration timeout = Duration.ofMillis(
                        Math.max(1, Math.min(CLAIM_TIMEOUT.toMillis(), remainingMillis(deadlineNanos))));
                step = session.onBeginResult(
                        control.beginClaim(begin.begin(), timeout).join(), clock.nanos());
            } else if (step instanceof ClaimStep.Send) {
                claimsSent.inc();
                step = session.onCallResult(sendOnce(service, call, deadlineNanos));
            } else if (step instanceof ClaimStep.Finish finish) {
                if (finish.reply() != null) {
                    deliver(finish.reply(), reply);
                }
                step = session.onFinishResult(
                        control.finishClaim(finish.finish(), CLAIM_TIMEOUT).join());
            } else if (step instanceof ClaimStep.Reply last) {
                deliver(last.reply(), reply);
                return;
            } else {
                return;
            }
        }
    }

    private void deliver(ClaimReply reply, Consumer<ClaimReply> receiver) {
        if (reply instanceof ClaimReply.Answered answered && answered.repeated()) {
            claimsRepeated.inc();
        }
        receiver.accept(reply);
    }

    /**
     * Sends the call to one replica. Another is tried only after {@link CallResult.NotSent}, that is, when the call did
     * not run.
     */
    private CallResult<RecordedAnswer> sendOnce(Service service, ServiceCall call, long deadlineNanos) {
        Set<BackendServerId> tried = new HashSet<>();
        CallResult<RecordedAnswer> result = new CallResult.NotSent<>("no replica of " + service.name() + " is ready");
        for (int i = 0; i < MAX_ATTEMPTS && remainingMillis(deadlineNanos) > 0; i++) {
            Optional<ReplicaSelector.AcquiredReplica> acquired = replicas.acquire(service.name(), tried);
            if (acquired.isEmpty()) {
                return result;
            }
            tried.add(acquired.get().replica().server());
            result = send(acquired.get(), service, call, deadlineNanos);
            if (!(result instanceof CallResult.NotSent)) {
                return result;
            }
        }
        return result;
    }

    private CallResult<RecordedAnswer> send(
            ReplicaSelector.AcquiredReplica acquired, Service service, ServiceCall call, long deadlineNanos) {
        try (acquired) {
            long millis = Math.min(service.timeoutMillis(), Math.max(1, remainingMillis(deadlineNanos)));
            ServiceResult sent = client.send(acquired.replica().address(), call, Duration.ofMillis(millis));
            replicas.onAnswer(acquired.replica(), sent.notice());
            return sent.result();
        }
    }

    private static ClaimReply toRefusal(CallResult<RecordedAnswer> result) {
        if (result instanceof CallResult.NotSent<RecordedAnswer> notSent) {
            return new ClaimReply.Refused(
                    Refusal.retryLater(RefusalReason.NO_BACKEND_SERVER, notSent.reason(), RETRY_AFTER_MILLIS));
        }
        String why = "the service's answer was lost: " + ((CallResult.Unknown<RecordedAnswer>) result).reason();
        return new ClaimReply.Refused(new Refusal(RefusalReason.BACKEND_FAILED, why, Ran.UNKNOWN, RETRY_AFTER_MILLIS));
    }

    private long remainingMillis(long deadlineNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - clock.nanos());
    }

    @Override
    public void close() {
        client.close();
    }
}
