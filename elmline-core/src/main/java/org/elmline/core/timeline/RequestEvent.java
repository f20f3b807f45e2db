package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Ran;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.RequestId;

/** A stage of one request, in the order in which a request usually passes them. */
public sealed interface RequestEvent extends Event {
    RequestId request();

    /**
     * A caller's request was read.
     *
     * @param target name of the model or service asked for
     * @param promptTokens length of the prompt, 0 for a service
     * @param timeoutMillis its time limit, in milliseconds
     */
    @JsonTypeName("request-received")
    record Received(RequestId request, OrganisationId organisation, String target, int promptTokens, long timeoutMillis)
            implements RequestEvent {}

    /** The request may use the fleet; it waited {@code waitedMillis} milliseconds for that. */
    @JsonTypeName("request-admitted")
    record Admitted(RequestId request, long waitedMillis) implements RequestEvent {}

    /** The owner of a backend server reserved room on it for one attempt. */
    @JsonTypeName("request-placed")
    record Placed(RequestId request, AttemptId attempt, BackendServerId server, HostId owner) implements RequestEvent {}

    /** The first piece of the answer arrived. */
    @JsonTypeName("first-token")
    record FirstToken(RequestId request, AttemptId attempt) implements RequestEvent {}

    /** An attempt ended without a whole answer and another follows. */
    @JsonTypeName("request-retried")
    record Retried(RequestId request, AttemptId failed, RefusalReason reason, Ran ran) implements RequestEvent {}

    /** An attempt is cancelled on its backend server. */
    @JsonTypeName("request-cancelled")
    record Cancelled(RequestId request, AttemptId attempt) implements RequestEvent {}

    /** The caller's final answer is something else than the result. */
    @JsonTypeName("request-refused")
    record Refused(RequestId request, RefusalReason reason, Ran ran) implements RequestEvent {}

    /** The caller got the whole answer. */
    @JsonTypeName("request-finished")
    record Finished(RequestId request, int outputTokens) implements RequestEvent {}

    /** The control hosts committed the claim of a call that may run at most once, before it was sent. */
    @JsonTypeName("claim-begun")
    record ClaimBegun(RequestId request) implements RequestEvent {}

    /** The control hosts committed a claim's outcome. */
    @JsonTypeName("claim-finished")
    record ClaimFinished(RequestId request, Ran ran) implements RequestEvent {}
}
