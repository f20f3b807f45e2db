package org.elmline.core.fairness;

/**
 * Whether a request fits in its organisation's limits. After any answer but {@link #ADMITTED}, ask for a share once and try
 * again: the share follows what was just refused, if the organisation's limit has room.
 */
public enum LimitAnswer {
    ADMITTED,
    /** Too many requests in flight on this entry. */
    TOO_MANY_REQUESTS,
    /** Too many tokens in the last minute on this entry. */
    TOO_MANY_TOKENS,
    /** No share is held; {@link OrganisationLimits#shareRequest} says what to ask for. */
    NO_SHARE
}
