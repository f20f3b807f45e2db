package org.elmline.core.dispatch;

/**
 * Progress or end of a granted attempt, as its entry reports it.
 *
 * @param end null for the report of the first token, otherwise how the attempt ended
 * @param limit request rate limit stated in the server's answer; null without an answer
 */
public record AttemptReport(String attempt, AttemptEnd end, ServerRateLimit limit) {
    /** Creates a report of an attempt that has no answer. */
    public AttemptReport(String attempt, AttemptEnd end) {
        this(attempt, end, null);
    }
}
