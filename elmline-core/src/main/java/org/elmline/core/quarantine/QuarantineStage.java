package org.elmline.core.quarantine;

/** How far the evidence against a group of parts goes, and what that means for calls. */
public enum QuarantineStage {
    /** Too few servers have ended to be certain: calls wait for a moment while one at a time is tried. */
    SUSPECTED(true),
    /** Calls are refused; trials follow after long pauses. */
    QUARANTINED(true),
    /** Calls are served. Kept for a while so that older records do not restrict them again. */
    RELEASED(false);

    private final boolean restricts;

    QuarantineStage(boolean restricts) {
        this.restricts = restricts;
    }

    /** Whether calls with the group are not simply sent. */
    public boolean restricts() {
        return restricts;
    }
}
