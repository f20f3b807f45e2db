package org.elmline.core.common;

/**
 * A final answer that is not the result asked for.
 *
 * @param retryAfterMillis milliseconds until a retry may do better; 0 when a retry won't help
 */
public record Refusal(RefusalReason reason, String message, Ran ran, long retryAfterMillis) {
    /** A refusal of something that never ran and that a later retry won't mend. */
    public static Refusal didNotRun(RefusalReason reason, String message) {
        return new Refusal(reason, message, Ran.NO, 0);
    }

    /** A refusal of something that never ran, with the time to come back. */
    public static Refusal retryLater(RefusalReason reason, String message, long retryAfterMillis) {
        return new Refusal(reason, message, Ran.NO, retryAfterMillis);
    }
}
