package org.elmline.core.control;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.HostId;
import org.elmline.core.common.RefusalReason;

/** The decision on one claim of a batch. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
public sealed interface ClaimOutcome {
    /** The requesting session owns the claim, and nothing ran under this key before. It may send the call once. */
    @JsonTypeName("granted")
    record Granted() implements ClaimOutcome {}

    /** The call ran before; this is its answer. */
    @JsonTypeName("recorded")
    record Recorded(RecordedAnswer answer) implements ClaimOutcome {}

    /** Another session owns the claim and has not finished it: the call may be running, have run, or never run. */
    @JsonTypeName("may-have-run")
    record MayHaveRun(HostId owner) implements ClaimOutcome {}

    /** The claim was rejected for this requester, and the call did not run for it. */
    @JsonTypeName("refused")
    record Refused(RefusalReason reason, String message) implements ClaimOutcome {}

    /** A finish is recorded. */
    @JsonTypeName("finished")
    record Finished() implements ClaimOutcome {}

    /** A finish was sent by a session that does not own the claim, or after the claim was dropped. Nothing changed. */
    @JsonTypeName("not-owner")
    record NotOwner() implements ClaimOutcome {}
}
