package org.elmline.core.placement;

import java.util.List;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;

/**
 * Placement requirements of one request.
 *
 * @param prefixHashes chained hash of each leading block of the prompt, first block first; may be empty
 * @param remainingMillis milliseconds until the request's deadline
 * @param excluded replicas that must not be chosen because they already failed this request
 */
public record Demand(
        ModelName model,
        String adapter,
        int promptTokens,
        int maxOutputTokens,
        List<Long> prefixHashes,
        int priority,
        long remainingMillis,
        Set<BackendServerId> excluded) {
    public Demand {
        prefixHashes = List.copyOf(prefixHashes);
        excluded = Set.copyOf(excluded);
    }

    /** KV tokens to reserve: the prompt and the longest possible output. */
    public long kvTokens() {
        return (long) promptTokens + maxOutputTokens;
    }

    public LengthClass lengthClass() {
        return LengthClass.of(promptTokens);
    }
}
