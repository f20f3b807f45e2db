package org.elmline.daemon.openai;

import org.elmline.core.common.ModelName;

/**
 * A completion request of either API.
 *
 * @param adapter adapter requested as {@code model@adapter}, empty for none
 * @param prompt text that the engine reads; the messages of a chat one after another
 * @param maxOutputTokens requested maximum of output tokens, 0 when the caller gave none
 * @param stream whether the answer is sent piece by piece
 * @param includeUsage whether a streamed answer ends with token counts
 */
public record CompletionRequest(
        ApiKind api,
        ModelName model,
        String adapter,
        String prompt,
        int maxOutputTokens,
        boolean stream,
        boolean includeUsage) {}
