package org.elmline.daemon.settings;

/**
 * How long control keeps records.
 *
 * @param claimMillis how long the outcome of a call that is not idempotent is kept, in milliseconds; an idempotency key
 *     issued before that is refused, so a forgotten outcome can't let the call run again
 * @param tickets how many tickets' answers are kept for operators who resend them
 */
public record RetentionSettings(long claimMillis, int tickets) {
    public static final RetentionSettings DEFAULT = new RetentionSettings(86_400_000, 100_000);
}
