package org.elmline.core.quarantine;

import java.time.Duration;

/**
 * How far one answer has gone. A part that crashes servers does so when they begin an answer, so an answer that has gone
 * on past its beginning shows that the parts of its prompt are sound. Times named {@code now} are monotonic, in
 * nanoseconds. Not safe for concurrent use.
 */
public final class AnswerProgress {
    /** Time from the first content on for which an answer is at its beginning: a crash follows within a tenth of it. */
    private static final long BEGINNING_NANOS = Duration.ofMillis(500).toNanos();

    /** Pieces of content that an answer past its beginning has; a server may have sent one or two before it ends. */
    private static final int MIN_PIECES = 4;

    private int pieces;
    private long firstPieceNanos;
    private boolean passed;

    /** Records content of the answer. Returns whether the answer has gone past its beginning with it. */
    public boolean onContent(long now) {
        if (pieces == 0) {
            firstPieceNanos = now;
        }
        pieces++;
        return !passed && pieces >= MIN_PIECES && now - firstPieceNanos >= BEGINNING_NANOS && pass();
    }

    /** Records the end of a complete answer. Returns whether it shows for the first time that its parts are sound. */
    public boolean onComplete() {
        return !passed && pieces > 0 && pass();
    }

    private boolean pass() {
        passed = true;
        return true;
    }

    /** Whether an answer that breaks off now breaks off at its beginning, or before it. */
    public boolean isAtBeginning() {
        return !passed;
    }
}
