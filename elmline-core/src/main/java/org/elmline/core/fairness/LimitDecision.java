package org.elmline.core.fairness;

/** Whether a request is within its organisation's limits. */
public enum LimitDecision {
    ADMITTED,
    /** Too many requests in flight on this entry. */
    TOO_MANY_REQUESTS,
    /** The token bucket of the organisation on this entry is empty. */
    TOO_MANY_TOKENS,
    /**
     * No share is held, or the share is too small and may be requested again: send
     * {@link OrganisationLimits#shareRequest}, then retry once.
     */
    NO_SHARE
}
