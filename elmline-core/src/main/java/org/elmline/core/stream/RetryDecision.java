package org.elmline.core.stream;

import org.elmline.core.common.Ran;

/** What to do after an attempt failed. */
public enum RetryDecision {
    /** Read the same attempt again from the first missing piece; costs no engine any new work. */
    RESUME,
    /** Start a new attempt elsewhere. */
    RETRY,
    /** Start a new attempt elsewhere with the pieces that the caller has. */
    CONTINUE,
    /** Tell the caller that it failed, with what is known of whether it ran. */
    GIVE_UP;

    private static final int MAX_RESUMES = 3;
    private static final int MAX_ATTEMPTS = 4;
    private static final long MIN_REMAINING_MILLIS = 50;

    /** Decides, and takes a retry out of the budget where one is spent. */
    public static RetryDecision of(StreamFailure failure, RetryBudget budget) {
        if (failure.remainingMillis() < MIN_REMAINING_MILLIS) {
            return GIVE_UP;
        }
        boolean mayStillRun = failure.ran() != Ran.NO;
        if (mayStillRun && failure.engineReachable() && failure.resumes() < MAX_RESUMES) {
            return RESUME;
        }
        // What may have run and must not run twice ends here: a second try could charge a caller again.
        if (mayStillRun && !failure.repeatable()) {
            return GIVE_UP;
        }
        if (failure.attempts() >= MAX_ATTEMPTS || !budget.tryAcquire()) {
            return GIVE_UP;
        }
        return failure.deliveredPieces() > 0 ? CONTINUE : RETRY;
    }
}
