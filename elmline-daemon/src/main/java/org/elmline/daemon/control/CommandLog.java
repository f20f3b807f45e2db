package org.elmline.daemon.control;

import java.util.concurrent.CompletableFuture;

import org.elmline.core.control.Command;

/**
 * The replicated log as the control role uses it: takes commands and returns the results of applied ones. Thread-safe.
 */
public interface CommandLog extends AutoCloseable {
    /**
     * Proposes a command. Completes normally in every case, once the command is applied here or known not to be decided
     * here.
     */
    CompletableFuture<ProposalOutcome> propose(Command command);

    /** Returns this control host's present status in the log. */
    LeadershipStatus leadershipStatus();

    @Override
    void close();
}
