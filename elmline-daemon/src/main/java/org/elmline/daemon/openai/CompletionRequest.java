package org.elmline.daemon.openai;

import org.elmline.core.common.ModelName;

/**
 * A caller's request in the terms of either API.
 *
 * @param adapter adapter asked for as {@code model@adapter}, empty for none
 * @param prompt the text the engine reads; the messages of a chat one after another
 * @param maxOutputTokens longest answer asked for, 0 when the caller named none
 * @param stream whether the answer is wanted piece by piece
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
