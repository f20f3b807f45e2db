package org.elmline.core.admission;

import java.util.List;

/**
 * What is free on one engine now, and what will be. Times are in milliseconds from now.
 *
 * @param freeSlots calls that it can take now
 * @param freeMemoryTokens KV memory that is free now, in tokens
 * @param prefillFreeMillis until the prefill granted so far is done
 * @param splitFreeMillis until it may prefill a part of a long prompt without a stall of the answers that it decodes
 * @param ends predicted ends of its calls, in any order
 */
public record EngineOutlook(
        int freeSlots, long freeMemoryTokens, double prefillFreeMillis, double splitFreeMillis, List<End> ends) {
    public EngineOutlook {
        ends = List.copyOf(ends);
    }

    /**
     * The predicted end of a call on an engine.
     *
     * @param slots 1 on the engine that generates the answer, 0 on one that holds a part of its memory
     */
    public record End(double millis, int slots, long memoryTokens) {}
}
