package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.dispatch.AttemptEnd;

/** The attempts of one call so far: where it was sent, and whether it may have run. Used on the I/O thread only. */
final class AttemptHistory {
    /**
     * Attempts that reached no server, or that a server rejected without running, beyond the sends that a route allows.
     */
    private static final int MAX_UNEXECUTED = 3;

    private final int maxSends;
    private final List<BackendServerId> triedServers = new ArrayList<>();
    private int sends;
    private int unexecuted;
    private boolean mayHaveRun;
    private boolean reachedServer;

    /** @param maxSends sends that the call's route allows */
    AttemptHistory(int maxSends) {
        this.maxSends = Math.max(1, maxSends);
    }

    /** Records a server that the call is not to be placed on again, without a send. */
    void addTried(BackendServerId server) {
        triedServers.add(server);
    }

    void recordSend(BackendServerId server) {
        triedServers.add(server);
        sends++;
    }

    /**
     * Records the end of an attempt that gave no answer for the caller.
     *
     * @param faultyHelper the helper because of which the server refused the call, null without one
     */
    void recordFailure(BackendServerId server, AttemptEnd end, BackendServerId faultyHelper) {
        mayHaveRun |= end.mayHaveRun();
        reachedServer |= end.mayHaveReachedServer();
        if (!end.mayHaveRun()) {
            sends--;
            unexecuted++;
        }
        if (faultyHelper != null) {
            triedServers.set(triedServers.lastIndexOf(server), faultyHelper);
        }
    }

    /** Records an attempt that was cancelled while it was under way. */
    void recordCancelled(Attempt attempt) {
        mayHaveRun |= attempt.mayHaveRun();
        reachedServer |= attempt.mayHaveRun();
    }

    /** Whether any server may have started to run the call. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether the call may have reached a server, even one that did not run it. */
    boolean reachedServer() {
        return reachedServer;
    }

    boolean hasSendsLeft() {
        return sends < maxSends && unexecuted <= MAX_UNEXECUTED;
    }

    int sends() {
        return sends;
    }

    /** The servers that the call must not be placed on again, in order. */
    List<BackendServerId> triedServers() {
        return triedServers;
    }
}
