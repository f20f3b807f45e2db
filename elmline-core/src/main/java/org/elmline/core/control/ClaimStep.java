package org.elmline.core.control;

import org.elmline.core.common.Address;

/** What an entry must do next for a claim session. */
public sealed interface ClaimStep {
    /** Ask a control host, and pass what comes to {@link ClaimSession#onBeginResult}; {@code leader} is a hint or null. */
    record Begin(ClaimBegin begin, Address leader) implements ClaimStep {}

    /** Send the call to the service, now and once, and pass what comes to {@link ClaimSession#onCallResult}. */
    record Send() implements ClaimStep {}

    /**
     * Give the caller its reply at once, when there is one, and tell a control host; pass what comes to
     * {@link ClaimSession#onFinishResult}.
     *
     * @param reply null when the caller has had its reply
     */
    record Finish(ClaimFinish finish, ClaimReply reply, Address leader) implements ClaimStep {}

    /** Give the caller its reply. */
    record Reply(ClaimReply reply) implements ClaimStep {}

    /** Nothing: a late or doubled event, or one after the end. */
    record Nothing() implements ClaimStep {}
}
