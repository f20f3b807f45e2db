package org.elmline.core.control;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Address;

/** A control host's answer to a begin or finish of a claim. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "answer")
public sealed interface ClaimAnswer {
    /** Committed by a quorum. */
    @JsonTypeName("decided")
    record Decided(ClaimOutcome outcome) implements ClaimAnswer {}

    /**
     * Nothing was proposed, as only the leader accepts the request.
     *
     * @param leader address to send the request to, null when unknown
     */
    @JsonTypeName("not-leader")
    record NotLeader(Address leader) implements ClaimAnswer {}

    /** Nothing was proposed because too many claims are queued; retry after {@code retryAfterMillis}. */
    @JsonTypeName("overloaded")
    record Overloaded(long retryAfterMillis) implements ClaimAnswer {}

    /** Proposed, but not confirmed as committed. The same session may safely retry. */
    @JsonTypeName("undecided")
    record Undecided(String why) implements ClaimAnswer {}
}
