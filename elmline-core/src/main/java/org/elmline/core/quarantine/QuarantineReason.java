package org.elmline.core.quarantine;

/** Why a group of parts is in its stage. */
public enum QuarantineReason {
    /** Servers ended under prompts with the group. */
    CRASHES(false),
    /** An operator decided it. */
    OPERATOR(true),
    /** An answer to a prompt with each part went on. */
    ANSWERED(true),
    /** One part turned out to be sound; a smaller group replaces this one. */
    NARROWED(false),
    /** A later report showed that another call had ended the same servers. */
    EXPLAINED(false),
    /** No further server ended under it, and too few had for certainty. */
    NO_FURTHER_CRASH(false),
    /** No call with it came for a long time. */
    UNUSED(false),
    /** Too many groups: this one was needed least. */
    EVICTED(false);

    private final boolean clearsEvidence;

    QuarantineReason(boolean clearsEvidence) {
        this.clearsEvidence = clearsEvidence;
    }

    /** Whether, on a release for this reason, nothing observed before speaks against the group any more. */
    boolean clearsEvidence() {
        return clearsEvidence;
    }
}
