package org.elmline.core.common;

/** Outcome of a call to another process. The three cases decide whether a retry elsewhere is safe. */
public sealed interface CallResult<R> {
    /** The other process answered. */
    record Answered<R>(R value) implements CallResult<R> {}

    /** No byte of the call left this process, or the other process rejected it without reading it. */
    record NotSent<R>(String reason) implements CallResult<R> {}

    /**
     * The call may have been sent and may have run. No result arrived, for example because of a timeout, a closed
     * connection or a failure in the other process.
     */
    record Unknown<R>(String reason) implements CallResult<R> {}

    /** Whether the other process executed the call. */
    default Ran ran() {
        if (this instanceof Answered) {
            return Ran.YES;
        }
        return this instanceof NotSent ? Ran.NO : Ran.UNKNOWN;
    }
}
