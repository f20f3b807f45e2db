package org.elmline.standin.model;

/**
 * One sequence to compute.
 *
 * @param id chosen by the caller, unique among the sequences that the engine holds
 * @param promptTokens tokens to have in KV memory before the first answer token, imported ones not counted
 * @param importedTokens tokens of context that imported KV supplies; attended to but neither computed nor held anew
 * @param outputTokens answer tokens to generate; 0 to prefill only
 * @param priority 0 is the most urgent
 * @param blockHashes chained hash of each leading block of the prompt
 */
public record SequenceRequest(
        long id, int promptTokens, long importedTokens, int outputTokens, int priority, long[] blockHashes) {}
