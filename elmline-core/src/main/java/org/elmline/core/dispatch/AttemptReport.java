package org.elmline.core.dispatch;

/**
 * What became of a granted attempt.
 *
 * @param end null at the first token, how it ended otherwise
 * @param limit what the server's answer says of the requests that it takes; null without an answer
 */
public record AttemptReport(String attempt, AttemptEnd end, ServerRateLimit limit) {
    /** Of an attempt without an answer. */
    public AttemptReport(String attempt, AttemptEnd end) {
        this(attempt, end, null);
    }
}
