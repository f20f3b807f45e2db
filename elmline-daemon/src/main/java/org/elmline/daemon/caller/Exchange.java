package org.elmline.daemon.caller;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.RequestId;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.engine.StreamEvent;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.EnginePriority;
import org.elmline.core.route.Grant;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.stream.AnswerAssembler;
import org.elmline.core.stream.Assembled;
import org.elmline.core.stream.RetryDecision;
import org.elmline.core.stream.StreamFailure;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.daemon.openai.CompletionRequest;

/**
 * One request from its first placement to its final answer, over as many attempts as it takes. Runs on one worker. Every
 * way out gives the grant back: at once when the engine has finished, else once it has acknowledged the cancel.
 */
final class Exchange {
    private static final long IDLE_MILLIS = 500;
    private static final long RETRY_MILLIS = 1_000;
    private static final Assembled MISSING = new Assembled.Broken(Ran.YES, "pieces of the answer are missing");
    private static final AttemptId NO_ATTEMPT = AttemptId.of("none");

    private final Gateway gateway;
    private final Work work;
    private final AnswerSink sink;
    private final AnswerAssembler answer = new AnswerAssembler(NO_ATTEMPT);
    private final Set<BackendServerId> failedServers = new HashSet<>();
    private final List<Long> prefixHashes;
    private Grant grant;
    private int tries;
    private int resumes;
    private boolean everStarted;

    Exchange(Gateway gateway, Work work, AnswerSink sink) {
        this.gateway = gateway;
        this.work = work;
        this.sink = sink;
        CompletionRequest request = work.request();
        this.prefixHashes = PromptBlocks.hashes(request.model().value(), request.adapter(), request.prompt());
    }

    /** How one stream ended. */
    private sealed interface Ending {
        /** The caller has the whole answer. */
        record Whole() implements Ending {}

        /** The time is up. */
        record Expired() implements Ending {}

        /** The stream broke; {@code reachable} tells whether the engine may still hold it. */
        record Broken(Ran ran, boolean reachable, String why) implements Ending {}
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

    private RequestId id() {
        return work.call().id();
    }

    private void refuse(Refusal refusal) throws IOException {
        gateway.record(new RequestEvent.Refused(id(), refusal.reason(), refusal.ran()));
        sink.refuse(refusal);
    }

    private void attempts() throws IOException, InterruptedException {
        boolean resume = false;
        while (true) {
            if (!resume && !place()) {
                return;
            }
            Ending ending = stream(resume);
            if (ending instanceof Ending.Whole) {
                gateway.record(new RequestEvent.Finished(id(), answer.offset()));
                gateway.grants().close(grant.attempt(), ReleaseCause.FINISHED);
                grant = null;
                return;
            }
            if (ending instanceof Ending.Expired) {
                gateway.counter("deadline").inc();
                refuse(expired());
                return;
            }
            Ending.Broken broken = (Ending.Broken) ending;
            RetryDecision decision = decide(broken);
            gateway.counter("broken." + decision.name().toLowerCase(java.util.Locale.ROOT))
                    .inc();
            if (decision == RetryDecision.GIVE_UP) {
                refuse(failed(broken));
                return;
            }
            resume = decision == RetryDecision.RESUME;
            if (!resume) {
                giveUpAttempt(broken);
            }
        }
    }

    /** False when there is no place; the caller has the refusal then. */
    private boolean place() throws IOException, InterruptedException {
        tries++;
        CompletionRequest request = work.request();
        Demand demand = new Demand(
                request.model(),
                request.adapter(),
                work.promptTokens(),
                work.maxOutputTokens(),
                prefixHashes,
                work.call().organisation().priority(),
                Math.max(0, remainingMillis()),
                failedServers);
        Placement placement = gateway.placer().place(work.call(), tries, demand);
        if (placement instanceof Placement.None none) {
            gateway.counter("refused").inc();
            refuse(withRan(none.refusal()));
            return false;
        }
        Placement.Found found = (Placement.Found) placement;
        grant = found.grant();
        gateway.record(new RequestEvent.Placed(id(), grant.attempt(), grant.server(), found.owner()));
        answer.continueWith(grant.attempt());
        resumes = 0;
        return true;
    }

    /** A refusal to place a later attempt doesn't undo that an earlier one ran. */
    private Refusal withRan(Refusal refusal) {
        Ran ran = everStarted ? Ran.YES : refusal.ran();
        return new Refusal(refusal.reason(), refusal.message(), ran, refusal.retryAfterMillis());
    }

    private Ending stream(boolean resume) throws IOException, InterruptedException {
        Optional<EngineClient> engine = gateway.engines().client(grant.protocol(), grant.engine());
        if (engine.isEmpty()) {
            return new Ending.Broken(Ran.NO, false, "no plug-in speaks " + grant.protocol());
        }
        EventQueue events = new EventQueue();
        AutoCloseable handle = resume
                ? engine.get().resume(grant.attempt(), answer.offset(), events)
                : engine.get().start(request(), events);
        try {
            return pump(events, resume);
        } finally {
            events.close();
            closeQuietly(handle);
        }
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
                answer.delivered(),
                List.of());
    }

    private Ending pump(EventQueue events, boolean resume) throws IOException, InterruptedException {
        long startedNanos = gateway.clock().nanos();
        boolean firstToken = answer.offset() == 0;
        while (true) {
            long left = remainingMillis();
            if (left <= 0) {
                return new Ending.Expired();
            }
            StreamEvent event = events.poll(Math.min(left, IDLE_MILLIS));
            if (event == null && !answer.missing()) {
                sink.idle();
                continue;
            }
            // A piece that was left out never comes by itself: waiting for it would use up the whole time limit.
            Assembled assembled = event == null ? MISSING : answer.accept(event);
            if (event instanceof StreamEvent.End && answer.missing()) {
                assembled = MISSING;
            }
            if (assembled instanceof Assembled.Deliver deliver) {
                everStarted = true;
                resumes = 0;
                if (firstToken || !resume) {
                    reportFirstToken(startedNanos, firstToken);
                }
                firstToken = false;
                resume = true;
                deliver(deliver.pieces());
            } else if (assembled instanceof Assembled.Complete complete) {
                everStarted = true;
                deliver(complete.pieces());
                sink.end(answer.offset(), complete.reason());
                return new Ending.Whole();
            } else if (assembled instanceof Assembled.Broken broken) {
                everStarted |= broken.ran() == Ran.YES;
                boolean reachable = broken.ran() != Ran.NO;
                return new Ending.Broken(startedBefore(resume) ? Ran.YES : broken.ran(), reachable, broken.why());
            } else {
                gateway.counter("pieces.ignored").inc();
            }
        }
    }

    /** A resume that finds nobody there says nothing against the attempt having run. */
    private boolean startedBefore(boolean resume) {
        return resume || answer.offset() > 0;
    }

    private void reportFirstToken(long startedNanos, boolean ofTheAnswer) {
        long nanos = gateway.clock().nanos() - startedNanos;
        gateway.grants().firstToken(grant.attempt(), TimeUnit.NANOSECONDS.toMillis(nanos));
        if (ofTheAnswer) {
            gateway.record(new RequestEvent.FirstToken(id(), grant.attempt()));
            long sinceReceived = gateway.clock().nanos() - work.call().receivedNanos();
            gateway.firstTokenTimer(org.elmline.core.common.LengthClass.of(work.promptTokens()))
                    .update(sinceReceived, TimeUnit.NANOSECONDS);
        }
    }

    private void deliver(List<String> pieces) throws IOException {
        for (String piece : pieces) {
            sink.piece(piece);
        }
    }

    private RetryDecision decide(Ending.Broken broken) {
        StreamFailure failure = new StreamFailure(
                broken.ran(), true, broken.reachable(), answer.offset(), resumes, tries, remainingMillis());
        resumes++;
        return RetryDecision.of(failure, gateway.budget());
    }

    private void giveUpAttempt(Ending.Broken broken) {
        failedServers.add(grant.server());
        gateway.record(new RequestEvent.Retried(id(), grant.attempt(), RefusalReason.BACKEND_FAILED, broken.ran()));
        if (broken.ran() == Ran.NO) {
            gateway.grants().close(grant.attempt(), ReleaseCause.ENGINE_FAILED);
        } else {
            gateway.cancels().cancel(grant);
        }
        grant = null;
    }

    private Refusal expired() {
        Ran ran = everStarted ? Ran.YES : Ran.UNKNOWN;
        return new Refusal(RefusalReason.DEADLINE, "the answer did not finish in time", ran, RETRY_MILLIS);
    }

    private Refusal failed(Ending.Broken broken) {
        Ran ran = everStarted ? Ran.YES : broken.ran();
        return new Refusal(RefusalReason.BACKEND_FAILED, "the engine failed: " + broken.why(), ran, RETRY_MILLIS);
    }

    private long remainingMillis() {
        return work.call().remainingMillis(gateway.clock());
    }

    private static void closeQuietly(AutoCloseable handle) {
        try {
            handle.close();
        } catch (Exception e) {
            // The stream is given up either way; the attempt is cancelled by name.
        }
    }
}
