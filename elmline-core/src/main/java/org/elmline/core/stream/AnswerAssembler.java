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
 * One caller's answer. Streams of several attempts may feed it, with pieces crossed, doubled, late, out of order or
 * missing; the caller gets each piece once, in order, and the end only with all pieces before it. Only the current
 * attempt counts. Not thread-safe.
 */
public final class AnswerAssembler {
    /** Pieces held for an earlier one; beyond it the earlier one is taken for lost. */
    private static final int MAX_HELD = 256;

    private static final int UNKNOWN = -1;

    private final List<String> delivered = new ArrayList<>();
    private final Map<Integer, String> held = new HashMap<>();
    private AttemptId attempt;
    private int count = UNKNOWN;
    private FinishReason reason;
    private boolean complete;

    public AnswerAssembler(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Takes an event in; every event is safe to pass, whatever its attempt or time. */
    public Assembled accept(StreamEvent event) {
        if (complete) {
            return new Assembled.Ignored(Assembled.Why.AFTER_END);
        }
        // A crossed piece would put another caller's text into this answer, with nothing to show it.
        if (!event.attempt().equals(attempt)) {
            return new Assembled.Ignored(Assembled.Why.OTHER_ATTEMPT);
        }
        if (event instanceof StreamEvent.Piece piece) {
            return piece(piece);
        }
        if (event instanceof StreamEvent.End end) {
            return end(end);
        }
        StreamEvent.Failed failed = (StreamEvent.Failed) event;
        return new Assembled.Broken(failed.ran(), failed.why());
    }

    /** From now on only the given attempt counts; it continues from {@link #delivered}. */
    public void continueWith(AttemptId next) {
        attempt = next;
        held.clear();
        count = UNKNOWN;
        reason = null;
    }

    public AttemptId attempt() {
        return attempt;
    }

    /** Pieces that the caller has; their number is the offset to resume from. */
    public List<String> delivered() {
        return List.copyOf(delivered);
    }

    /** Number of the piece to ask for when the stream is resumed. */
    public int offset() {
        return delivered.size();
    }

    public boolean complete() {
        return complete;
    }

    /** Whether the end has come but pieces before it have not: resume from {@link #offset}. */
    public boolean missing() {
        return !complete && (count != UNKNOWN || !held.isEmpty());
    }

    private Assembled piece(StreamEvent.Piece piece) {
        int index = piece.index();
        if (index < delivered.size() || held.containsKey(index)) {
            return new Assembled.Ignored(Assembled.Why.DUPLICATE);
        }
        if (count != UNKNOWN && index >= count) {
            return new Assembled.Broken(Ran.UNKNOWN, "piece " + index + " past the end of " + count);
        }
        if (index > delivered.size() && held.size() >= MAX_HELD) {
            return new Assembled.Broken(Ran.UNKNOWN, "piece " + delivered.size() + " is missing");
        }
        held.put(index, piece.text());
        return flush();
    }

    private Assembled end(StreamEvent.End end) {
        if (count != UNKNOWN) {
            return new Assembled.Ignored(Assembled.Why.DUPLICATE);
        }
        int furthest = held.keySet().stream().mapToInt(index -> index + 1).max().orElse(delivered.size());
        if (end.count() < furthest) {
            return new Assembled.Broken(Ran.UNKNOWN, "end of " + end.count() + " after piece " + (furthest - 1));
        }
        count = end.count();
        reason = end.reason();
        return flush();
    }

    private Assembled flush() {
        List<String> pieces = new ArrayList<>();
        String next = held.remove(delivered.size());
        while (next != null) {
            pieces.add(next);
            delivered.add(next);
            next = held.remove(delivered.size());
        }
        if (delivered.size() == count) {
            complete = true;
            return new Assembled.Complete(pieces, reason);
        }
        return pieces.isEmpty() ? new Assembled.Ignored(Assembled.Why.HELD) : new Assembled.Deliver(pieces);
    }
}
