package org.elmline.core.control;

import org.elmline.core.common.Refusal;

/** The final reply of a claim session to its caller. */
public sealed interface ClaimReply {
    /**
     * The service's answer.
     *
     * @param repeated true when the call ran earlier and this is the recorded answer, whose body may be missing
     */
    record Answered(RecordedAnswer answer, boolean repeated) implements ClaimReply {}

    /** No answer; the refusal states whether the call ran. */
    record Refused(Refusal refusal) implements ClaimReply {}
}
