package org.elmline.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.FinishReason;
import org.elmline.core.engine.StreamEvent;

/**
 * Assembles one caller's answer. Streams of several attempts may feed it, with pieces of other attempts, duplicated,
 * late, out of order or missing; the caller gets each piece once, in order, and the end only after all pieces. Only the
 * current attempt counts. Not thread-safe.
 */
public final class AnswerAssembler {
    /** Maximum number of pieces buffered while an earlier one is missing; above it the earlier one counts as lost. */
    private static final int MAX_BUFFERED_PIECES = 256;

    private static final int UNKNOWN_COUNT = -1;

    private final List<String> delivered = new ArrayList<>();
    private final Map<Integer, String> buffered = new HashMap<>();
    private AttemptId attempt;
    private int expectedCount = UNKNOWN_COUNT;
    private FinishReason finishReason;
    private boolean finished;

    public AnswerAssembler(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Processes an event; events of any attempt may be passed at any time. */
    public AssemblyResult accept(StreamEvent event) {
        if (finished) {
            return new AssemblyResult.Ignored(AssemblyResult.IgnoreReason.AFTER_END);
        }
        // A piece of another attempt would put another caller's text into this answer without any error.
        if (!event.attempt().equals(attempt)) {
            return new AssemblyResult.Ignored(AssemblyResult.IgnoreReason.OTHER_ATTEMPT);
        }
        if (event instanceof StreamEvent.Piece piece) {
            return onPiece(piece);
        }
        if (event instanceof StreamEvent.End end) {
            return onEnd(end);
        }
        StreamEvent.Failed failed = (StreamEvent.Failed) event;
        return new AssemblyResult.Broken(failed.ran(), failed.why());
    }

    /** Switches to another attempt, which continues from {@link #delivered}; events of earlier attempts are ignored. */
    public void continueWith(AttemptId next) {
        attempt = next;
        buffered.clear();
        expectedCount = UNKNOWN_COUNT;
        finishReason = null;
    }

    public AttemptId attempt() {
        return attempt;
    }

    /** Pieces delivered to the caller; their number is the offset to resume from. */
    public List<String> delivered() {
        return List.copyOf(delivered);
    }

    /** Index of the first piece to request when the stream is resumed. */
    public int resumeOffset() {
        return delivered.size();
    }

    public boolean finished() {
        return finished;
    }

    /** Whether the end or a later piece has come but pieces before it have not: resume from {@link #resumeOffset}. */
    public boolean isMissingPieces() {
        return !finished && (expectedCount != UNKNOWN_COUNT || !buffered.isEmpty());
    }

    private AssemblyResult onPiece(StreamEvent.Piece piece) {
        int index = piece.index();
        if (index < delivered.size() || buffered.containsKey(index)) {
            return new AssemblyResult.Ignored(AssemblyResult.IgnoreReason.DUPLICATE);
        }
        if (expectedCount != UNKNOWN_COUNT && index >= expectedCount) {
            return new AssemblyResult.Broken(Ran.UNKNOWN, "piece " + index + " past the end of " + expectedCount);
        }
        if (index > delivered.size() && buffered.size() >= MAX_BUFFERED_PIECES) {
            return new AssemblyResult.Broken(Ran.UNKNOWN, "piece " + delivered.size() + " is missing");
        }
        buffered.put(index, piece.text());
        return flush();
    }

    private AssemblyResult onEnd(StreamEvent.End end) {
        if (expectedCount != UNKNOWN_COUNT) {
            return new AssemblyResult.Ignored(AssemblyResult.IgnoreReason.DUPLICATE);
        }
        int furthest =
                buffered.keySet().stream().mapToInt(index -> index + 1).max().orElse(delivered.size());
        if (end.count() < furthest) {
            return new AssemblyResult.Broken(Ran.UNKNOWN, "end of " + end.count() + " after piece " + (furthest - 1));
        }
        expectedCount = end.count();
        finishReason = end.reason();
        return flush();
    }

    private AssemblyResult flush() {
        List<String> pieces = new ArrayList<>();
        String next = buffered.remove(delivered.size());
        while (next != null) {
            pieces.add(next);
            delivered.add(next);
            next = buffered.remove(delivered.size());
        }
        if (delivered.size() == expectedCount) {
            finished = true;
            return new AssemblyResult.Complete(pieces, finishReason);
        }
        return pieces.isEmpty()
                ? new AssemblyResult.Ignored(AssemblyResult.IgnoreReason.HELD)
                : new AssemblyResult.Deliver(pieces);
    }
}
