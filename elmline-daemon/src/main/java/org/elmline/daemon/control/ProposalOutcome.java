package org.elmline.daemon.control;

import org.elmline.core.common.Address;
import org.elmline.core.control.CommandResult;

/** Outcome of a proposed command. */
public sealed interface ProposalOutcome {
    /** Committed by a quorum and applied. */
    record Applied(CommandResult result) implements ProposalOutcome {}

    /** Not committed and never will be, as this host does not lead; {@code leader} is null when none is known. */
    record NotLeader(Address leader) implements ProposalOutcome {}

    /** Not proposed, as the log refused it: its queue or disk is full, for example. */
    record Overloaded() implements ProposalOutcome {}

    /** Proposed, but not known to be committed. */
    record Undecided(String why) implements ProposalOutcome {}
}
