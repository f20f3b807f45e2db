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

/** Carries one request's answer from the streams of its attempts to its caller: each piece once, in order. */
final class AnswerPump {
    private static final long IDLE_MILLIS = 500;
    private static final AssemblyResult MISSING =
            new AssemblyResult.Broken(Ran.YES, "pieces of the answer are missing");
    private static final AttemptId NO_ATTEMPT = AttemptId.of("none");

    private final Gateway gateway;
    private final Work work;
    private final AnswerSink sink;
    private final AnswerAssembler answer = new AnswerAssembler(NO_ATTEMPT);
    private long attemptStartedNanos;
    private boolean firstOfAttempt;
    private boolean everStarted;
    private int resumes;

    AnswerPump(Gateway gateway, Work work, AnswerSink sink) {
        this.gateway = gateway;
        this.work = work;
        this.sink = sink;
    }

    /** Pieces that the caller has. */
    List<String> delivered() {
        return answer.delivered();
    }

    int count() {
        return answer.resumeOffset();
    }

    /** Whether any attempt is known to have run. */
    boolean everStarted() {
        return everStarted;
    }

    /** Resumes of the current attempt since its last new piece. */
    int resumes() {
        return resumes;
    }

    StreamEnding start(EngineClient engine, EngineRequest request) throws IOException, InterruptedException {
        answer.continueWith(request.attempt());
        attemptStartedNanos = gateway.clock().nanos();
        firstOfAttempt = true;
        resumes = 0;
        EventQueue events = new EventQueue();
        return read(events, engine.start(request, events), false);
    }

    /** Reads the current attempt again from the first missing piece. */
    StreamEnding resume(EngineClient engine) throws IOException, InterruptedException {
        resumes++;
        EventQueue events = new EventQueue();
        return read(events, engine.resume(answer.attempt(), answer.resumeOffset(), events), true);
    }

    private StreamEnding read(EventQueue events, AutoCloseable handle, boolean resumed)
            throws IOException, InterruptedException {
        try {
            return pump(events, resumed);
        } finally {
            events.close();
            closeQuietly(handle);
        }
    }

    private StreamEnding pump(EventQueue events, boolean resumed) throws IOException, InterruptedException {
        while (true) {
            long left = work.call().remainingMillis(gateway.clock());
            if (left <= 0) {
                return new StreamEnding.Expired();
            }
            StreamEvent event = events.poll(Math.min(left, IDLE_MILLIS));
            if (event == null && !answer.isMissingPieces()) {
                sink.idle();
                continue;
            }
            AssemblyResult assembled = assemble(event);
            if (assembled instanceof AssemblyResult.Deliver deliver) {
                deliver(deliver.pieces());
            } else if (assembled instanceof AssemblyResult.Complete complete) {
                deliver(complete.pieces());
                sink.end(answer.resumeOffset(), complete.reason());
                return new StreamEnding.Whole();
            } else if (assembled instanceof AssemblyResult.Broken broken) {
                return broken(broken, resumed);
            } else {
                gateway.counter("pieces.ignored").inc();
            }
        }
    }

    /** A piece that was left out never comes by itself: waiting for it would use up the whole time limit. */
    private AssemblyResult assemble(StreamEvent event) {
        if (event == null) {
            return MISSING;
        }
        AssemblyResult assembled = answer.accept(event);
        return event instanceof StreamEvent.End && answer.isMissingPieces() ? MISSING : assembled;
    }

    /** A resume that finds nobody there says nothing against the attempt having run. */
    private StreamEnding broken(AssemblyResult.Broken broken, boolean resumed) {
        everStarted |= broken.ran() == Ran.YES;
        Ran ran = resumed || !firstOfAttempt ? Ran.YES : broken.ran();
        return new StreamEnding.Broken(ran, broken.ran() != Ran.NO, broken.why());
    }

    private void deliver(List<String> pieces) throws IOException {
        everStarted = true;
        resumes = 0;
        if (firstOfAttempt) {
            firstOfAttempt = false;
            reportFirstToken(answer.resumeOffset() == pieces.size());
        }
        for (String piece : pieces) {
            sink.piece(piece);
        }
    }

    private void reportFirstToken(boolean ofTheAnswer) {
        long now = gateway.clock().nanos();
        gateway.grants().firstToken(answer.attempt(), TimeUnit.NANOSECONDS.toMillis(now - attemptStartedNanos));
        if (ofTheAnswer) {
            gateway.record(new RequestEvent.FirstToken(work.call().id(), answer.attempt()));
            gateway.firstTokenTimer(LengthClass.of(work.promptTokens()))
                    .update(now - work.call().receivedNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private static void closeQuietly(AutoCloseable handle) {
        try {
            handle.close();
        } catch (Exception e) {
            // The stream is given up either way; the attempt is cancelled by name.
        }
    }
}
