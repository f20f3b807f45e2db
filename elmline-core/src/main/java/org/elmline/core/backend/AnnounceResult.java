package org.elmline.core.backend;

/** Outcome of an announcement. */
public enum AnnounceResult {
    /** A server not in the table, or one whose lease had expired. */
    JOINED(true),
    RENEWED(true),
    /** A later incarnation under the same id; the state of the earlier one is lost. */
    RESTARTED(true),
    /** The server stopped accepting new work. */
    LEAVING(true),
    /** An earlier incarnation than the latest one recorded: delayed in the network or still running; ignored. */
    STALE_INCARNATION(false),
    /** A malformed name, names and versions of different number, or an engine without KV memory; ignored. */
    INVALID(false);

    private final boolean accepted;

    AnnounceResult(boolean accepted) {
        this.accepted = accepted;
    }

    public boolean accepted() {
        return accepted;
    }
}
