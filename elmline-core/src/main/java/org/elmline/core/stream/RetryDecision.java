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

    private static final int MOST_RESUMES = 3;
    private static final int MOST_TRIES = 4;
    private static final long LEAST_MILLIS = 50;

    /** Decides, and takes a retry out of the budget where one is spent. */
    public static RetryDecision of(StreamFailure failure, RetryBudget budget) {
        if (failure.remainingMillis() < LEAST_MILLIS) {
            return GIVE_UP;
        }
        boolean mayStillRun = failure.ran() != Ran.NO;
        if (mayStillRun && failure.engineReachable() && failure.resumes() < MOST_RESUMES) {
            return RESUME;
        }
        // What may have run and must not run twice ends here: a second try could charge a caller again.
        if (mayStillRun && !failure.repeatable()) {
            return GIVE_UP;
        }
        if (failure.tries() >= MOST_TRIES || !budget.tryTake()) {
            return GIVE_UP;
        }
        return failure.delivered() > 0 ? CONTINUE : RETRY;
    }
}
