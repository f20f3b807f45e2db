package org.elmline.core.common;

/** How a call to another process ended. The three cases decide whether a retry elsewhere is safe. */
public sealed interface CallResult<R> {
    /** The other process answered. */
    record Answered<R>(R value) implements CallResult<R> {}

    /** No byte of the call left this process, or the other process refused it unread. */
    record NotSent<R>(String reason) implements CallResult<R> {}

    /** The call was sent and no answer came in time. */
    record Unknown<R>(String reason) implements CallResult<R> {}

    /** Whether the other process handled the call. */
    default Ran ran() {
        if (this instanceof Answered) {
            return Ran.YES;
        }
        return this instanceof NotSent ? Ran.NO : Ran.UNKNOWN;
    }
}
