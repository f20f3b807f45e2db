package org.elmline.core.routing;

/** Whether a route's calls may be retried. */
public enum CallKind {
    /** May run more than once. */
    IDEMPOTENT {
        @Override
        public boolean mayRetry(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once for each attempt of a caller. */
    NOT_IDEMPOTENT {
        @Override
        public boolean mayRetry(boolean resumable) {
            return false;
        }
    },
    /** Answers in numbered events; another run may continue after the last event received if the route allows it. */
    STREAMING {
        @Override
        public boolean mayRetry(boolean resumable) {
            return resumable;
        }
    };

    /** Whether a call that may have run may be sent to another backend server. */
    public abstract boolean mayRetry(boolean resumable);
}
