package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Ran;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.RequestId;

/** A stage of one request. The types stand in the order in which a request usually passes through them. */
public sealed interface RequestEvent extends Event {
    RequestId request();

    /**
     * A caller's request was read.
     *
     * @param target name of the requested model or service
     * @param promptTokens length of the prompt in tokens, 0 for a service
     * @param timeoutMillis timeout of the request, in milliseconds
     */
    @JsonTypeName("request-received")
    record Received(RequestId request, OrganisationId organisation, String target, int promptTokens, long timeoutMillis)
            implements RequestEvent {}

    /** The request was admitted after waiting {@code waitedMillis} milliseconds. */
    @JsonTypeName("request-admitted")
    record Admitted(RequestId request, long waitedMillis) implements RequestEvent {}

    /** The owner of a backend server reserved capacity on it for one attempt. */
    @JsonTypeName("request-placed")
    record Placed(RequestId request, AttemptId attempt, BackendServerId server, HostId owner) implements RequestEvent {}

    /** The first piece of the answer arrived. */
    @JsonTypeName("first-token")
    record FirstToken(RequestId request, AttemptId attempt) implements RequestEvent {}

    /** An attempt ended without a complete answer and another attempt follows. */
    @JsonTypeName("request-retried")
    record Retried(RequestId request, AttemptId failed, RefusalReason reason, Ran ran) implements RequestEvent {}

    /** An attempt was cancelled on its backend server. */
    @JsonTypeName("request-cancelled")
    record Cancelled(RequestId request, AttemptId attempt) implements RequestEvent {}

    /** The caller's final answer is something other than the result, for example an error. */
    @JsonTypeName("request-refused")
    record Refused(RequestId request, RefusalReason reason, Ran ran) implements RequestEvent {}

    /** The caller received the complete answer. */
    @JsonTypeName("request-finished")
    record Finished(RequestId request, int outputTokens) implements RequestEvent {}

    /** The control hosts committed the claim of a call that may run at most once; the call is sent only after that. */
    @JsonTypeName("claim-begun")
    record ClaimBegun(RequestId request) implements RequestEvent {}

    /** The control hosts committed the outcome of a claim. */
    @JsonTypeName("claim-finished")
    record ClaimFinished(RequestId request, Ran ran) implements RequestEvent {}
}
