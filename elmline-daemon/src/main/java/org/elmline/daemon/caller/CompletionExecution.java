package org.elmline.daemon.caller;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.RequestId;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.EnginePriority;
import org.elmline.core.route.Grant;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.stream.RetryDecision;
import org.elmline.core.stream.StreamFailure;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.daemon.openai.CompletionRequest;

/**
 * Executes one request from its first placement to its final answer, over as many attempts as needed. Runs on one
 * worker. Every way to end releases the grant: at once when the engine has finished, or before a retry when the attempt
 * did not run; else once the engine has acknowledged the cancel.
 */
final class CompletionExecution {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long CONTINUATION_TIMEOUT_MILLIS = 10_000;
    private static final long CONTINUATION_RETRY_DELAY_MILLIS = 200;

    private final CompletionGateway gateway;
    private final AdmittedCompletion completion;
    private final AnswerSink sink;
    private final AnswerForwarder forwarder;
    private final Set<BackendServerId> failedServers = new HashSet<>();
    private final List<Long> prefixHashes;
    private final PrefixQuarantine quarantine;
    private Grant grant;
    private int attemptCount;
    private int placementCount;

    CompletionExecution(CompletionGateway gateway, AdmittedCompletion completion, AnswerSink sink) {
        this.gateway = gateway;
        this.completion = completion;
        this.sink = sink;
        CompletionRequest request = completion.request();
        this.prefixHashes = PromptBlocks.blockHashes(request.model().value(), request.adapter(), request.prompt());
        this.quarantine = new PrefixQuarantine(gateway.quarantine(), gateway.clock(), completion, prefixHashes);
        this.forwarder = new AnswerForwarder(gateway, completion, sink, quarantine);
    }

    void run() throws IOException, InterruptedException {
        gateway.record(new RequestEvent.Received(
                id(),
                completion.call().organisation().id(),
                completion.request().model().value(),
                completion.promptTokens(),
                remainingMillis()));
        try {
            runAttempts();
        } finally {
            if (grant != null) {
                gateway.record(new RequestEvent.Cancelled(id(), grant.attempt()));
                gateway.cancellations().cancel(grant);
            }
        }
    }

    private void runAttempts() throws IOException, InterruptedException {
        boolean resume = false;
        while (true) {
            if (!resume && !place()) {
                return;
            }
            StreamOutcome outcome = stream(resume);
            if (outcome instanceof StreamOutcome.Complete) {
                gateway.record(new RequestEvent.Finished(id(), forwarder.deliveredCount()));
                gateway.grants().release(grant.attempt(), ReleaseCause.FINISHED);
                grant = null;
                return;
            }
            if (outcome instanceof StreamOutcome.DeadlineExceeded) {
                gateway.counter("deadline").inc();
                refuse(deadlineRefusal());
                return;
            }
            StreamOutcome.Broken broken = (StreamOutcome.Broken) outcome;
            RetryDecision decision = decide(broken);
            if (resume && decision != RetryDecision.RESUME) {
                // The attempt could not be resumed either.
                quarantine.onEngineLost(grant);
            }
            gateway.counter("broken." + decision.name().toLowerCase(Locale.ROOT))
                    .inc();
            if (decision == RetryDecision.GIVE_UP) {
                refuse(failureRefusal(broken));
                return;
            }
            resume = decision == RetryDecision.RESUME;
            if (!resume) {
                abandonAttempt(broken);
            }
        }
    }

    /** False when the request has its final answer already: no placement was found, or a group of engines served it. */
    private boolean place() throws IOException, InterruptedException {
        Optional<Refusal> quarantined = quarantine.admit(sink);
        if (quarantined.isPresent()) {
            gateway.counter("refused").inc();
            refuse(withRan(quarantined.get()));
            return false;
        }
        attemptCount++;
        PlacementResult placement = gateway.placer().place(completion.call(), ++placementCount, demand());
        long retryUntilMillis = gateway.clock().millis() + CONTINUATION_TIMEOUT_MILLIS;
        // A refusal is useless to a caller that has received part of the answer, so placement is retried for a limited
        // time; each retry is a complete placement with its own attempt ids.
        while (placement instanceof PlacementResult.Refused refused
                && mayRetryPlacement(refused.refusal(), retryUntilMillis)) {
            Thread.sleep(CONTINUATION_RETRY_DELAY_MILLIS);
            sink.onIdle();
            placement = gateway.placer().place(completion.call(), ++placementCount, demand());
        }
        if (placement instanceof PlacementResult.Refused refused) {
            refuseOrServeByGroup(refused.refusal());
            return false;
        }
        PlacementResult.Placed placed = (PlacementResult.Placed) placement;
        grant = placed.grant();
        gateway.record(new RequestEvent.Placed(id(), grant.attempt(), grant.server(), placed.owner()));
        return true;
    }

    private boolean mayRetryPlacement(Refusal refusal, long untilMillis) {
        boolean partlyDelivered = forwarder.deliveredCount() > 0;
        return partlyDelivered
                && refusal.reason().retryable()
                && remainingMillis() > 0
                && gateway.clock().millis() < untilMillis;
    }

    private void refuseOrServeByGroup(Refusal refusal) throws IOException, InterruptedException {
        boolean needsGroup = refusal.reason() == RefusalReason.TOO_LARGE && !forwarder.anyAttemptRan();
        Optional<Refusal> finalRefusal =
                needsGroup ? new GroupExecution(gateway, completion, forwarder, demand()).run() : Optional.of(refusal);
        if (finalRefusal.isPresent()) {
            gateway.counter("refused").inc();
            refuse(withRan(finalRefusal.get()));
        }
    }

    private Demand demand() {
        CompletionRequest request = completion.request();
        return new Demand(
                request.model(),
                request.adapter(),
                completion.promptTokens(),
                completion.maxOutputTokens(),
                prefixHashes,
                completion.call().organisation().priority(),
                Math.max(0, remainingMillis()),
                failedServers);
    }

    /** A refusal to place a later attempt doesn't change that an earlier one ran. */
    private Refusal withRan(Refusal refusal) {
        Ran ran = forwarder.anyAttemptRan() ? Ran.YES : refusal.ran();
        return new Refusal(refusal.reason(), refusal.message(), ran, refusal.retryAfterMillis());
    }

    private StreamOutcome stream(boolean resume) throws IOException, InterruptedException {
        Optional<EngineClient> engine = gateway.engines().client(grant.protocol(), grant.engine());
        if (engine.isEmpty()) {
            return new StreamOutcome.Broken(Ran.NO, false, "no plug-in speaks " + grant.protocol());
        }
        return resume ? forwarder.resume(engine.get()) : forwarder.start(engine.get(), request());
    }

    private EngineRequest request() {
        return new EngineRequest(
                grant.attempt(),
                gateway.self().host(),
                gateway.self().incarnation(),
                grant.model(),
                completion.request().adapter(),
                completion.request().prompt(),
                completion.promptTokens(),
                completion.maxOutputTokens(),
                EnginePriority.of(LengthClass.of(completion.promptTokens())),
                forwarder.deliveredPieces(),
                List.of());
    }

    private RetryDecision decide(StreamOutcome.Broken broken) {
        StreamFailure failure = new StreamFailure(
                broken.ran(),
                true,
                broken.reachable(),
                forwarder.deliveredCount(),
                forwarder.resumeCount(),
                attemptCount,
                remainingMillis());
        return RetryDecision.of(failure, gateway.retryBudget());
    }

    private void abandonAttempt(StreamOutcome.Broken broken) {
        failedServers.add(grant.server());
        gateway.record(new RequestEvent.Retried(id(), grant.attempt(), RefusalReason.BACKEND_FAILED, broken.ran()));
        if (broken.ran() == Ran.NO) {
            gateway.grants().release(grant.attempt(), ReleaseCause.ENGINE_FAILED);
        } else {
            gateway.cancellations().cancel(grant);
        }
        grant = null;
    }

    private void refuse(Refusal refusal) throws IOException {
        gateway.record(new RequestEvent.Refused(id(), refusal.reason(), refusal.ran()));
        sink.refuse(refusal);
    }

    private Refusal deadlineRefusal() {
        Ran ran = forwarder.anyAttemptRan() ? Ran.YES : Ran.UNKNOWN;
        return new Refusal(RefusalReason.DEADLINE, "the answer did not finish in time", ran, RETRY_AFTER_MILLIS);
    }

    private Refusal failureRefusal(StreamOutcome.Broken broken) {
        Ran ran = forwarder.anyAttemptRan() ? Ran.YES : broken.ran();
        return new Refusal(RefusalReason.BACKEND_FAILED, "the engine failed: " + broken.why(), ran, RETRY_AFTER_MILLIS);
    }

    private RequestId id() {
        return completion.call().id();
    }

    private long remainingMillis() {
        return completion.call().remainingMillis(gateway.clock());
    }
}
