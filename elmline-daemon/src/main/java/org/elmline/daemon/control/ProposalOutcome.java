package org.elmline.daemon.control;

import org.elmline.core.common.Address;
import org.elmline.core.control.CommandResult;

/** What became of a proposed command. */
public sealed interface ProposalOutcome {
    /** Committed by a quorum and applied. */
    record Applied(CommandResult result) implements ProposalOutcome {}

    /** Not proposed: ask the leader; null when none is known. */
    record NotLeader(Address leader) implements ProposalOutcome {}

    /** Not proposed: too much waits already. */
    record Overloaded() implements ProposalOutcome {}

    /** Proposed, and not known to be committed. */
    record Undecided(String why) implements ProposalOutcome {}
}
