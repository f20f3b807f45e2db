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
 * One request from its first placement to its final answer, over as many attempts as it takes. Runs on one worker. Every
 * way out gives the grant back: at once when the engine has finished, else once it has acknowledged the cancel.
 */
final class Exchange {
    private static final long RETRY_MILLIS = 1_000;
    private static final long CONTINUE_MILLIS = 10_000;
    private static final long CONTINUE_PAUSE_MILLIS = 200;

    private final Gateway gateway;
    private final Work work;
    private final AnswerSink sink;
    private final AnswerPump pump;
    private final Set<BackendServerId> failedServers = new HashSet<>();
    private final List<Long> prefixHashes;
    private Grant grant;
    private int tries;
    private int placements;

    Exchange(Gateway gateway, Work work, AnswerSink sink) {
        this.gateway = gateway;
        this.work = work;
        this.sink = sink;
        this.pump = new AnswerPump(gateway, work, sink);
        CompletionRequest request = work.request();
        this.prefixHashes = PromptBlocks.blockHashes(request.model().value(), request.adapter(), request.prompt());
    }

    void run() throws IOException, InterruptedException {
        gateway.record(new RequestEvent.Received(
                id(),
                work.call().organisation().id(),
                work.request().model().value(),
                work.promptTokens(),
                remainingMillis()));
        try {
            attempts();
        } finally {
            if (grant != null) {
                gateway.record(new RequestEvent.Cancelled(id(), grant.attempt()));
                gateway.cancels().cancel(grant);
            }
        }
    }

    private void attempts() throws IOException, InterruptedException {
        boolean resume = false;
        while (true) {
            if (!resume && !place()) {
                return;
            }
            StreamEnding ending = stream(resume);
            if (ending instanceof StreamEnding.Whole) {
                gateway.record(new RequestEvent.Finished(id(), pump.count()));
                gateway.grants().close(grant.attempt(), ReleaseCause.FINISHED);
                grant = null;
                return;
            }
            if (ending instanceof StreamEnding.Expired) {
                gateway.counter("deadline").inc();
                refuse(expired());
                return;
            }
            StreamEnding.Broken broken = (StreamEnding.Broken) ending;
            RetryDecision decision = decide(broken);
            gateway.counter("broken." + decision.name().toLowerCase(Locale.ROOT))
                    .inc();
            if (decision == RetryDecision.FAIL) {
                refuse(failed(broken));
                return;
            }
            resume = decision == RetryDecision.RESUME;
            if (!resume) {
                giveUpAttempt(broken);
            }
        }
    }

    /** False when the request has its final answer already: there is no place, or a group of engines served it. */
    private boolean place() throws IOException, InterruptedException {
        tries++;
        Placement placement = gateway.placer().place(work.call(), ++placements, demand());
        long until = gateway.clock().millis() + CONTINUE_MILLIS;
        // A caller with half an answer can't use a refusal: for a while the rest is worth more tries, each a real one.
        while (placement instanceof Placement.None none && worthAnotherTry(none.refusal(), until)) {
            Thread.sleep(CONTINUE_PAUSE_MILLIS);
            sink.idle();
            placement = gateway.placer().place(work.call(), ++placements, demand());
        }
        if (placement instanceof Placement.None none) {
            refuseOrGroup(none.refusal());
            return false;
        }
        Placement.Found found = (Placement.Found) placement;
        grant = found.grant();
        gateway.record(new RequestEvent.Placed(id(), grant.attempt(), grant.server(), found.owner()));
        return true;
    }

    private boolean worthAnotherTry(Refusal refusal, long untilMillis) {
        boolean half = pump.count() > 0;
        return half
                && refusal.reason().passing()
                && remainingMillis() > 0
                && gateway.clock().millis() < untilMillis;
    }

    private void refuseOrGroup(Refusal refusal) throws IOException, InterruptedException {
        boolean larger = refusal.reason() == RefusalReason.TOO_LARGE && !pump.everStarted();
        Optional<Refusal> last = larger ? new GroupExchange(gateway, work, pump, demand()).run() : Optional.of(refusal);
        if (last.isPresent()) {
            gateway.counter("refused").inc();
            refuse(withRan(last.get()));
        }
    }

    private Demand demand() {
        CompletionRequest request = work.request();
        return new Demand(
                request.model(),
                request.adapter(),
                work.promptTokens(),
                work.maxOutputTokens(),
                prefixHashes,
                work.call().organisation().priority(),
                Math.max(0, remainingMillis()),
                failedServers);
    }

    /** A refusal to place a later attempt doesn't undo that an earlier one ran. */
    private Refusal withRan(Refusal refusal) {
        Ran ran = pump.everStarted() ? Ran.YES : refusal.ran();
        return new Refusal(refusal.reason(), refusal.message(), ran, refusal.retryAfterMillis());
    }

    private StreamEnding stream(boolean resume) throws IOException, InterruptedException {
        Optional<EngineClient> engine = gateway.engines().client(grant.protocol(), grant.engine());
        if (engine.isEmpty()) {
            return new StreamEnding.Broken(Ran.NO, false, "no plug-in speaks " + grant.protocol());
        }
        return resume ? pump.resume(engine.get()) : pump.start(engine.get(), request());
    }

    private EngineRequest request() {
        return new EngineRequest(
                grant.attempt(),
                gateway.self().host(),
                gateway.self().incarnation(),
                grant.model(),
                work.request().adapter(),
                work.request().prompt(),
                work.promptTokens(),
                work.maxOutputTokens(),
                EnginePriority.of(LengthClass.of(work.promptTokens())),
                pump.delivered(),
                List.of());
    }

    private RetryDecision decide(StreamEnding.Broken broken) {
        StreamFailure failure = new StreamFailure(
                broken.ran(), true, broken.reachable(), pump.count(), pump.resumes(), tries, remainingMillis());
        return RetryDecision.of(failure, gateway.budget());
    }

    private void giveUpAttempt(StreamEnding.Broken broken) {
        failedServers.add(grant.server());
        gateway.record(new RequestEvent.Retried(id(), grant.attempt(), RefusalReason.BACKEND_FAILED, broken.ran()));
        if (broken.ran() == Ran.NO) {
            gateway.grants().close(grant.attempt(), ReleaseCause.ENGINE_FAILED);
        } else {
            gateway.cancels().cancel(grant);
        }
        grant = null;
    }

    private void refuse(Refusal refusal) throws IOException {
        gateway.record(new RequestEvent.Refused(id(), refusal.reason(), refusal.ran()));
        sink.refuse(refusal);
    }

    private Refusal expired() {
        Ran ran = pump.everStarted() ? Ran.YES : Ran.UNKNOWN;
        return new Refusal(RefusalReason.DEADLINE, "the answer did not finish in time", ran, RETRY_MILLIS);
    }

    private Refusal failed(StreamEnding.Broken broken) {
        Ran ran = pump.everStarted() ? Ran.YES : broken.ran();
        return new Refusal(RefusalReason.BACKEND_FAILED, "the engine failed: " + broken.why(), ran, RETRY_MILLIS);
    }

    private RequestId id() {
        return work.call().id();
    }

    private long remainingMillis() {
        return work.call().remainingMillis(gateway.clock());
    }
}
