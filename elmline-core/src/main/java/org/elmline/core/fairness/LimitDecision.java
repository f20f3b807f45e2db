package org.elmline.core.fairness;

/** Whether a request fits in its organisation's limits. */
public enum LimitDecision {
    ADMITTED,
    /** Too many requests in flight on this entry. */
    TOO_MANY_REQUESTS,
    /** Too many tokens in the last minute on this entry. */
    TOO_MANY_TOKENS,
    /**
     * No share is held, or it is too small and old enough to ask again: ask with {@link OrganisationLimits#shareRequest},
     * then try once more.
     */
    NO_SHARE
}
