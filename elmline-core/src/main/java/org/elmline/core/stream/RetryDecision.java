package org.elmline.core.stream;

import org.elmline.core.common.Ran;

/** What to do after an attempt failed. */
public enum RetryDecision {
    /** Read the same attempt again from the first missing piece; gives no engine new work. */
    RESUME,
    /** Start a new attempt on another engine. */
    RETRY,
    /** Start a new attempt on another engine that continues after the pieces already delivered. */
    CONTINUE,
    /** Report the failure to the caller, with what is known of whether the request ran. */
    GIVE_UP;

    private static final int MAX_RESUMES = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final long MIN_REMAINING_MILLIS = 50;

    /** Decides, and takes a retry from the budget where one is used. */
    public static RetryDecision of(StreamFailure failure, RetryBudget budget) {
        if (failure.remainingMillis() < MIN_REMAINING_MILLIS) {
            return GIVE_UP;
        }
        boolean mayStillRun = failure.ran() != Ran.NO;
        if (mayStillRun && failure.engineReachable() && failure.resumes() < MAX_RESUMES) {
            return RESUME;
        }
        // A request that may have run and must not run twice fails here: a second attempt could charge a caller again.
        if (mayStillRun && !failure.repeatable()) {
            return GIVE_UP;
        }
        if (failure.attempts() >= MAX_ATTEMPTS || !budget.tryAcquire()) {
            return GIVE_UP;
        }
        return failure.deliveredPieces() > 0 ? CONTINUE : RETRY;
    }
}
