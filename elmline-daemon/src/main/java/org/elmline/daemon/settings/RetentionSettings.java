package org.elmline.daemon.settings;

/**
 * Retention of records on control hosts.
 *
 * @param claimMillis time in milliseconds for which the outcome of a call that is not idempotent is kept; idempotency
 *     keys issued longer ago are rejected, so that a call whose outcome was discarded can't run again
 * @param tickets number of tickets whose answers are kept for operators who resend them
 */
public record RetentionSettings(long claimMillis, int tickets) {
    public static final RetentionSettings DEFAULT = new RetentionSettings(86_400_000, 100_000);
}
