package org.elmline.core.routing;

/**
 * How fast an engine that reads and writes in passes works; from the operator's description of a service.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens of prompt and answer that fit into its memory
 * @param stepsPerPass token steps that one pass with writers takes
 * @param stepMillis milliseconds of one token step with nobody writing
 * @param perDecodingRequestMillis milliseconds that each writing request adds to a step
 * @param perThousandContextMillis milliseconds that each thousand tokens of context of a writing request add to a step
 * @param prefillTokensPerMilli prompt tokens read in a millisecond
 * @param attentionMillisPerMillionPairs milliseconds for a million pairs of a token and an earlier one
 * @param chunkTokens prompt tokens read in one step, at most
 * @param helperHopMillis milliseconds that each step takes longer when a prompt lies on several engines
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

    /** Milliseconds to read a prompt alone: each token, and each pair of a token and an earlier one. */
    public double prefillMillis(long promptTokens) {
        double pairs = (double) promptTokens * promptTokens / 2;
        return promptTokens / prefillTokensPerMilli + pairs / MILLION * attentionMillisPerMillionPairs;
    }

    /** Milliseconds of one pass of writing, without reading. */
    public double passMillis(int writers, long contextTokens) {
        double step =
                stepMillis + writers * perDecodingRequestMillis + contextTokens / THOUSAND * perThousandContextMillis;
        return stepsPerPass * step;
    }
}
