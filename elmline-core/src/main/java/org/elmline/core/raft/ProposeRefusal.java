package org.elmline.core.raft;

/** Why a leader did not take a proposal. Nothing of it is in the log. */
public enum ProposeRefusal {
    /** Too many bytes wait to be committed. */
    TOO_MUCH_UNCOMMITTED(true),
    TOO_LARGE(false),
    /** The leader is handing over. */
    TRANSFERRING(true),
    /** The replica's disk has no room. */
    DISK_FULL(true),
    /** The queue before the log is full. */
    QUEUE_FULL(true),
    /** A membership change is not committed yet. */
    CHANGE_IN_PROGRESS(true),
    /** The leader has not committed an entry of its own term yet. */
    START_OF_TERM_PENDING(true),
    /** A learner that lacks committed entries can't become a voter. */
    NOT_CAUGHT_UP(true),
    UNKNOWN_REPLICA(false),
    ALREADY_MEMBER(false),
    /** A log without voters could never decide again. */
    LAST_VOTER(false),
    CLOSED(false);

    private final boolean retryable;

    ProposeRefusal(boolean passing) {
        this.retryable = passing;
    }

    /** Whether the same proposal may be taken a little later. */
    public boolean retryable() {
        return retryable;
    }
}
