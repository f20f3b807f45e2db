package org.elmline.core.control;

import org.elmline.core.common.Address;

/** The next action of an entry for a claim session. */
public sealed interface ClaimStep {
    /**
     * Send the begin to a control host and pass the result to {@link ClaimSession#onBeginResult}; {@code leader} is a
     * hint or null.
     */
    record Begin(ClaimBegin begin, Address leader) implements ClaimStep {}

    /** Send the call to the service, now and once, and pass the result to {@link ClaimSession#onCallResult}. */
    record Send() implements ClaimStep {}

    /**
     * Send the caller its reply at once, if there is one, and the finish to a control host; pass the result to {@link
     * ClaimSession#onFinishResult}.
     *
     * @param reply null when the caller already has its reply
     * @param leader hint at the control host to send to, or null
     */
    record Finish(ClaimFinish finish, ClaimReply reply, Address leader) implements ClaimStep {}

    /** Send the caller its reply. */
    record Reply(ClaimReply reply) implements ClaimStep {}

    /** No action: the event was late or duplicated, or the session has ended. */
    record Nothing() implements ClaimStep {}
}
