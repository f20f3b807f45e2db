package org.elmline.core.stream;

import java.util.List;

import org.elmline.core.common.Ran;
import org.elmline.core.engine.FinishReason;

/** What to do after one stream event. */
public sealed interface AssemblyResult {
    /** Pieces to deliver now, in order; the answer continues. */
    record Deliver(List<String> pieces) implements AssemblyResult {}

    /** The last pieces to deliver; they complete the answer. */
    record Complete(List<String> pieces, FinishReason reason) implements AssemblyResult {}

    /** Nothing to deliver. */
    record Ignored(IgnoreReason reason) implements AssemblyResult {}

    /** The stream can't be completed as it is: resume it by offset, or continue on another engine. */
    record Broken(Ran ran, String why) implements AssemblyResult {}

    /** Why an event delivers nothing; counted by the daemon. */
    enum IgnoreReason {
        /** Event of another attempt: of another caller's, or of one that was replaced before the event came. */
        OTHER_ATTEMPT,
        /** A piece that was delivered or buffered already, or a second end. */
        DUPLICATE,
        /** A piece, or the end, that came before an earlier piece and is buffered. */
        HELD,
        /** An event after the end of the answer. */
        AFTER_END
    }
}
