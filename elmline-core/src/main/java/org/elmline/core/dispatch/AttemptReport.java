package org.elmline.core.dispatch;

/**
 * Progress or end of a granted attempt, as its entry reports it.
 *
 * @param end null for the report of the first token, otherwise how the attempt ended
 * @param limit request rate limit stated in the server's answer; null without an answer
 * @param leaving whether the server states in its answer that it accepts no new requests any more
 */
public record AttemptReport(String attempt, AttemptEnd end, ServerRateLimit limit, boolean leaving) {
    /** Creates a report with the notice in the server's answer; null without an answer. */
    public static AttemptReport of(String attempt, AttemptEnd end, ServerNotice notice) {
        return notice == null
                ? new AttemptReport(attempt, end)
                : new AttemptReport(attempt, end, notice.limit(), notice.leaving());
    }

    /** Creates a report of an attempt that has no answer. */
    public AttemptReport(String attempt, AttemptEnd end) {
        this(attempt, end, null, false);
    }
}
