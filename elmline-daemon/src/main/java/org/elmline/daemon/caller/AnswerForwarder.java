package org.elmline.daemon.caller;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.StreamEvent;
import org.elmline.core.stream.AnswerAssembler;
import org.elmline.core.stream.AssemblyResult;
import org.elmline.core.timeline.RequestEvent;

/**
 * Forwards one request's answer from the streams of its attempts to its caller: each piece once, in order. Used by one
 * thread.
 */
final class AnswerForwarder {
    private static final long IDLE_CHECK_MILLIS = 500;
    private static final AssemblyResult MISSING_PIECES =
            new AssemblyResult.Broken(Ran.YES, "pieces of the answer are missing");
    private static final AttemptId NO_ATTEMPT = AttemptId.of("none");

    private final CompletionGateway gateway;
    private final AdmittedCompletion completion;
    private final AnswerSink sink;
    private final PrefixQuarantine quarantine;
    private final AnswerAssembler assembler = new AnswerAssembler(NO_ATTEMPT);
    private long attemptStartedNanos;
    private boolean awaitingFirstPiece;
    private boolean anyAttemptRan;
    private int resumeCount;

    AnswerForwarder(
            CompletionGateway gateway, AdmittedCompletion completion, AnswerSink sink, PrefixQuarantine quarantine) {
        this.gateway = gateway;
        this.completion = completion;
        this.sink = sink;
        this.quarantine = quarantine;
    }

    /** Pieces that were delivered to the caller. */
    List<String> deliveredPieces() {
        return assembler.delivered();
    }

    int deliveredCount() {
        return assembler.resumeOffset();
    }

    /** Whether any attempt is known to have run. */
    boolean anyAttemptRan() {
        return anyAttemptRan;
    }

    /** Resumes of the current attempt since its last new piece. */
    int resumeCount() {
        return resumeCount;
    }

    StreamOutcome start(EngineClient engine, EngineRequest request) throws IOException, InterruptedException {
        assembler.continueWith(request.attempt());
        attemptStartedNanos = gateway.clock().nanos();
        quarantine.onAttempt();
        awaitingFirstPiece = true;
        resumeCount = 0;
        StreamEventQueue events = new StreamEventQueue();
        return read(events, engine.start(request, events), false);
    }

    /** Resumes the current attempt from the first missing piece. */
    StreamOutcome resume(EngineClient engine) throws IOException, InterruptedException {
        resumeCount++;
        StreamEventQueue events = new StreamEventQueue();
        return read(events, engine.resume(assembler.attempt(), assembler.resumeOffset(), events), true);
    }

    private StreamOutcome read(StreamEventQueue events, AutoCloseable handle, boolean resumed)
            throws IOException, InterruptedException {
        try {
            return forward(events, resumed);
        } finally {
            events.close();
            closeQuietly(handle);
        }
    }

    private StreamOutcome forward(StreamEventQueue events, boolean resumed) throws IOException, InterruptedException {
        while (true) {
            long remainingMillis = completion.call().remainingMillis(gateway.clock());
            if (remainingMillis <= 0) {
                return new StreamOutcome.DeadlineExceeded();
            }
            StreamEvent event = events.poll(Math.min(remainingMillis, IDLE_CHECK_MILLIS));
            if (event == null && !assembler.isMissingPieces()) {
                sink.onIdle();
                continue;
            }
            AssemblyResult assembled = assemble(event);
            if (assembled instanceof AssemblyResult.Deliver deliver) {
                deliver(deliver.pieces());
            } else if (assembled instanceof AssemblyResult.Complete complete) {
                deliver(complete.pieces());
                sink.end(assembler.resumeOffset(), complete.reason());
                quarantine.onComplete();
                return new StreamOutcome.Complete();
            } else if (assembled instanceof AssemblyResult.Broken broken) {
                return toOutcome(broken, resumed);
            } else {
                gateway.counter("pieces.ignored").inc();
            }
        }
    }

    /**
     * Reports a stream as broken if pieces are missing when it is idle or has ended. An engine doesn't resend a skipped
     * piece on the same stream, so waiting for it would use up the whole time limit.
     */
    private AssemblyResult assemble(StreamEvent event) {
        if (event == null) {
            return MISSING_PIECES;
        }
        AssemblyResult assembled = assembler.accept(event);
        return event instanceof StreamEvent.End && assembler.isMissingPieces() ? MISSING_PIECES : assembled;
    }

    /**
     * A resume that can't reach the engine doesn't show that the attempt didn't run, so it is reported as {@link
     * Ran#YES}.
     */
    private StreamOutcome toOutcome(AssemblyResult.Broken broken, boolean resumed) {
        anyAttemptRan |= broken.ran() == Ran.YES;
        Ran ran = resumed || !awaitingFirstPiece ? Ran.YES : broken.ran();
        return new StreamOutcome.Broken(ran, broken.ran() != Ran.NO, broken.why());
    }

    private void deliver(List<String> pieces) throws IOException {
        anyAttemptRan = true;
        resumeCount = 0;
        if (awaitingFirstPiece) {
            awaitingFirstPiece = false;
            reportFirstToken(assembler.resumeOffset() == pieces.size());
        }
        for (String piece : pieces) {
            sink.piece(piece);
        }
        quarantine.onPieces(pieces.size());
    }

    private void reportFirstToken(boolean firstOfAnswer) {
        long now = gateway.clock().nanos();
        gateway.grants()
                .reportFirstToken(assembler.attempt(), TimeUnit.NANOSECONDS.toMillis(now - attemptStartedNanos));
        if (firstOfAnswer) {
            gateway.record(new RequestEvent.FirstToken(completion.call().id(), assembler.attempt()));
            gateway.firstTokenTimer(LengthClass.of(completion.promptTokens()))
                    .update(now - completion.call().receivedNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private static void closeQuietly(AutoCloseable handle) {
        try {
            handle.close();
        } catch (Exception e) {
            // The stream is abandoned either way; an unfinished attempt is cancelled by its id.
        }
    }
}
