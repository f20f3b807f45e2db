package org.elmline.core.raft;

/** Why a leader refused a proposal. No part of the proposal is in the log. */
public enum ProposeRefusal {
    /** Too many bytes are proposed and not yet committed. */
    TOO_MUCH_UNCOMMITTED(true),
    TOO_LARGE(false),
    /** A leadership transfer is in progress. */
    TRANSFERRING(true),
    /** The disk of the replica is full. */
    DISK_FULL(true),
    /** The queue of proposals for the log is full. */
    QUEUE_FULL(true),
    /** An earlier membership change is not committed yet. */
    CHANGE_IN_PROGRESS(true),
    /** The leader has not committed an entry of its own term yet. */
    START_OF_TERM_PENDING(true),
    /** A learner that lacks committed entries cannot become a voter. */
    NOT_CAUGHT_UP(true),
    UNKNOWN_REPLICA(false),
    ALREADY_MEMBER(false),
    /** The change would leave no voter, and the cluster could never commit again. */
    LAST_VOTER(false),
    CLOSED(false);

    private final boolean retryable;

    ProposeRefusal(boolean retryable) {
        this.retryable = retryable;
    }

    /** Whether the same proposal may succeed a little later. */
    public boolean retryable() {
        return retryable;
    }
}
