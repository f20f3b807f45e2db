package org.elmline.core.backend;

/** What an announcement changed. */
public enum AnnounceResult {
    /** Not known before, or its lease had run out. */
    JOINED(true),
    RENEWED(true),
    /** A later start under the same id: what its earlier start held is gone. */
    RESTARTED(true),
    /** It stopped taking new work. */
    LEAVING(true),
    /** An earlier start than the one known, delayed on its way or still running beside it; ignored. */
    STALE_INCARNATION(false),
    /** A malformed name, names and versions that don't match up, or an engine without memory; ignored. */
    INVALID(false);

    private final boolean accepted;

    AnnounceResult(boolean accepted) {
        this.accepted = accepted;
    }

    public boolean accepted() {
        return accepted;
    }
}
