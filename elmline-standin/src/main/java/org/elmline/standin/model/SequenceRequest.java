package org.elmline.standin.model;

/**
 * One sequence to compute.
 *
 * @param id chosen by the caller, unique among the sequences that the engine holds
 * @param promptTokens tokens to have in KV memory before the first answer token, not counting imported ones
 * @param importedTokens context tokens supplied by imported KV; attended to, but neither computed nor allocated again
 * @param outputTokens answer tokens to generate; 0 to prefill only
 * @param priority 0 is the most urgent
 * @param blockHashes chained hash of each leading block of the prompt
 */
public record SequenceRequest(
        long id, int promptTokens, long importedTokens, int outputTokens, int priority, long[] blockHashes) {}
