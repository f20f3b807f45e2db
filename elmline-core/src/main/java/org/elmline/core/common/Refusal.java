package org.elmline.core.common;

/**
 * A final answer without the requested result.
 *
 * @param message text for the caller
 * @param ran whether the request ran on a backend server
 * @param retryAfterMillis milliseconds after which a retry may succeed; 0 when a retry cannot succeed
 */
public record Refusal(RefusalReason reason, String message, Ran ran, long retryAfterMillis) {
    /** A refusal of a request that did not run and for which a retry cannot succeed. */
    public static Refusal didNotRun(RefusalReason reason, String message) {
        return new Refusal(reason, message, Ran.NO, 0);
    }

    /** A refusal of a request that did not run, with the milliseconds after which a retry may succeed. */
    public static Refusal retryLater(RefusalReason reason, String message, long retryAfterMillis) {
        return new Refusal(reason, message, Ran.NO, retryAfterMillis);
    }
}
