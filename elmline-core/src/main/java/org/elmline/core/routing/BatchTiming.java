package org.elmline.core.routing;

/**
 * Timing model of an engine that prefills and decodes in batched passes, from the operator's description of a service.
 * Immutable.
 *
 * @param slots requests that run concurrently
 * @param memoryTokens tokens of prompt and answer that fit into its memory
 * @param stepsPerPass token steps of one pass with decoding requests
 * @param stepMillis milliseconds of one token step without decoding requests
 * @param perDecodingRequestMillis milliseconds that each decoding request adds to a step
 * @param perThousandContextMillis milliseconds that each thousand tokens of a decoding request's context add to a step
 * @param prefillTokensPerMilli prompt tokens prefilled per millisecond
 * @param attentionMillisPerMillionPairs milliseconds for a million pairs of a token and an earlier one
 * @param chunkTokens largest number of prompt tokens prefilled in one step
 * @param helperHopMillis additional milliseconds of each step if a prompt is spread over several engines
 */
public record BatchTiming(
        int slots,
        long memoryTokens,
        int stepsPerPass,
        double stepMillis,
        double perDecodingRequestMillis,
        double perThousandContextMillis,
        double prefillTokensPerMilli,
        double attentionMillisPerMillionPairs,
        int chunkTokens,
        double helperHopMillis) {
    private static final double MILLION = 1e6;
    private static final double THOUSAND = 1e3;

    public BatchTiming {
        if (slots < 1 || memoryTokens < 1 || stepsPerPass < 1 || !(prefillTokensPerMilli > 0)) {
            throw new IllegalArgumentException("an engine needs places, memory, steps and a reading speed");
        }
    }

    /** Milliseconds to prefill a prompt alone: time for each token, and for each pair of a token and an earlier one. */
    public double prefillMillis(long promptTokens) {
        double pairs = (double) promptTokens * promptTokens / 2;
        return promptTokens / prefillTokensPerMilli + pairs / MILLION * attentionMillisPerMillionPairs;
    }

    /** Milliseconds of one decoding pass without prefill. */
    public double passMillis(int decodingRequests, long contextTokens) {
        double step = stepMillis
                + decodingRequests * perDecodingRequestMillis
                + contextTokens / THOUSAND * perThousandContextMillis;
        return stepsPerPass * step;
    }
}
