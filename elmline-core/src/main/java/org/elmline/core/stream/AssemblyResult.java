package org.elmline.core.stream;

import java.util.List;

import org.elmline.core.common.Ran;
import org.elmline.core.engine.FinishReason;

/** What one stream event means for the caller. */
public sealed interface AssemblyResult {
    /** Pieces to pass on now, in order; the answer goes on. */
    record Deliver(List<String> pieces) implements AssemblyResult {}

    /** The last pieces to pass on; with them the caller has the whole answer. */
    record Complete(List<String> pieces, FinishReason reason) implements AssemblyResult {}

    /** Nothing to pass on. */
    record Ignored(IgnoreReason reason) implements AssemblyResult {}

    /** The stream can't be completed as it is: resume it by offset, or continue elsewhere. */
    record Broken(Ran ran, String why) implements AssemblyResult {}

    /** Why an event passes nothing on; counted by the daemon. */
    enum IgnoreReason {
        /** Of another attempt: a crossed answer, or one that came after its attempt was given up. */
        OTHER_ATTEMPT,
        /** A piece that the caller has, or that is held already. */
        DUPLICATE,
        /** A piece, or the end, that came before an earlier piece. */
        HELD,
        /** The answer is complete. */
        AFTER_END
    }
}
