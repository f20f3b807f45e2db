package org.elmline.daemon.gateway;

/**
 * What a call's headers say.
 *
 * @param requestId the caller's own id of this try; null without one
 * @param key null without one
 * @param deadlineMillis how long the caller waits; negative when it does not say
 * @param promptTokens 0 for a call that is no generation
 * @param maxAnswerTokens tokens that the answer may have, 0 for a call that is no generation
 * @param expectedAnswerTokens the caller's estimate; 0 when it gives none
 * @param lastEventId number of the last event that the caller has, negative without one
 */
public record CallHead(
        String requestId,
        String key,
        long deadlineMillis,
        long promptTokens,
        long maxAnswerTokens,
        long expectedAnswerTokens,
        long lastEventId) {}
