package org.elmline.daemon.control;

import java.util.concurrent.CompletableFuture;

import org.elmline.core.control.Command;

/** The replicated log as the control role uses it: commands in, results of applied commands out. */
public interface CommandLog extends AutoCloseable {
    /** Completes normally in every case, once the command is applied here or known not to be decided here. */
    CompletableFuture<ProposalOutcome> propose(Command command);

    /** This control host's standing now. */
    LeadershipStatus leadershipStatus();

    @Override
    void close();
}
