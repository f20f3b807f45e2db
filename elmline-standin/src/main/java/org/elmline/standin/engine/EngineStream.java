package org.elmline.standin.engine;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.standin.AnswerText;

/**
 * One attempt that the engine computes. It continues without readers until it is finished or cancelled. Thread-safe.
 */
final class EngineStream {
    private final long id;
    private final AttemptId attempt;
    private final HostId host;
    private final Incarnation incarnation;
    private final AnswerText answer;
    private final int firstIndex;
    private int availablePieces;
    private boolean cancelled;
    private long finishedNanos = Long.MAX_VALUE;

    EngineStream(long id, AttemptId attempt, HostId host, Incarnation incarnation, AnswerText answer, int firstIndex) {
        this.id = id;
        this.attempt = attempt;
        this.host = host;
        this.incarnation = incarnation;
        this.answer = answer;
        this.firstIndex = firstIndex;
        availablePieces = Math.min(firstIndex, answer.pieceCount());
    }

    long id() {
        return id;
    }

    AttemptId attempt() {
        return attempt;
    }

    HostId host() {
        return host;
    }

    Incarnation incarnation() {
        return incarnation;
    }

    AnswerText answer() {
        return answer;
    }

    /** Index of this attempt's first piece; the pieces before it were delivered by an earlier attempt. */
    int firstIndex() {
        return firstIndex;
    }

    synchronized int availablePieces() {
        return availablePieces;
    }

    synchronized void onGenerated(int indexInAttempt) {
        availablePieces = firstIndex + indexInAttempt + 1;
        notifyAll();
    }

    synchronized void onFinished(long nowNanos) {
        availablePieces = answer.pieceCount();
        finishedNanos = nowNanos;
        notifyAll();
    }

    synchronized long finishedNanos() {
        return finishedNanos;
    }

    synchronized boolean isFinished() {
        return finishedNanos != Long.MAX_VALUE;
    }

    synchronized void cancel() {
        cancelled = true;
        notifyAll();
    }

    synchronized boolean isCancelled() {
        return cancelled;
    }

    /** Waits until more than {@code pieces} pieces are available, the stream has ended, or the time has passed. */
    synchronized void awaitMore(int pieces, long millis) throws InterruptedException {
        if (availablePieces <= pieces && finishedNanos == Long.MAX_VALUE && !cancelled) {
            wait(millis);
        }
    }
}
