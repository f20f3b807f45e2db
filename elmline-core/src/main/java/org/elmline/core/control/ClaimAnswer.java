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

    /** Nothing was proposed. Ask the leader; null when this control host knows none. */
    @JsonTypeName("not-leader")
    record NotLeader(Address leader) implements ClaimAnswer {}

    /** Nothing was proposed: too many claims wait. */
    @JsonTypeName("overloaded")
    record Overloaded(long retryAfterMillis) implements ClaimAnswer {}

    /** Proposed but not known to be committed. Asking again from the same session is safe. */
    @JsonTypeName("undecided")
    record Undecided(String why) implements ClaimAnswer {}
}
