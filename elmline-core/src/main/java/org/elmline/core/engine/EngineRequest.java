package org.elmline.core.engine;

import java.util.List;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;

/**
 * One attempt at a request on one engine.
 *
 * @param host host whose entry opened the attempt; host and incarnation identify the streams to cancel after the entry
 *     is lost
 * @param adapter adapter to apply, empty for none
 * @param prompt whole prompt text; empty when {@code kvImports} hold all of it
 * @param promptTokens length of the prompt in tokens, imported segments included
 * @param priority 0 is the most urgent
 * @param delivered pieces already delivered to the caller, when a lost stream continues on another engine; the engine
 *     answers from piece number {@code delivered.size()} on
 * @param kvImports ids of exported KV segments to import before the prompt, in order
 */
public record EngineRequest(
        AttemptId attempt,
        HostId host,
        Incarnation incarnation,
        ModelName model,
        String adapter,
        String prompt,
        int promptTokens,
        int maxOutputTokens,
        int priority,
        List<String> delivered,
        List<String> kvImports) {
    public EngineRequest {
        delivered = delivered == null ? List.of() : List.copyOf(delivered);
        kvImports = kvImports == null ? List.of() : List.copyOf(kvImports);
    }
}
