package org.elmline.daemon.gateway;

import java.util.List;

import org.elmline.core.quarantine.PromptPart;

/**
 * The contents of a call's headers.
 *
 * @param requestId the caller's own id of this attempt; null without one
 * @param key the caller's key; null without one
 * @param deadlineMillis time until the caller's deadline; negative when not stated
 * @param promptTokens 0 for a call that generates nothing
 * @param maxAnswerTokens most tokens of the answer, 0 for a call that generates nothing
 * @param expectedAnswerTokens the caller's estimate; 0 without one
 * @param lastEventId id of the last event that the caller has received, negative without one
 * @param partList the parts of the prompt as the caller lists them; null for a call without a prompt
 * @param sharedParts parts of the prompt that other prompts may share; empty for a call without a prompt
 */
public record CallHead(
        String requestId,
        String key,
        long deadlineMillis,
        long promptTokens,
        long maxAnswerTokens,
        long expectedAnswerTokens,
        long lastEventId,
        String partList,
        List<PromptPart> sharedParts) {
    public CallHead {
        sharedParts = List.copyOf(sharedParts);
    }
}
