package org.elmline.core.placement;

/**
 * Cost of prefilling a prompt, in tokens at an empty context. Attention over the preceding tokens makes later tokens
 * more expensive, so a prompt of a million tokens costs several times its length.
 *
 * @param attentionDoublingTokens context length in tokens at which the cost of one token has doubled
 */
public record PrefillCost(double attentionDoublingTokens) {
    /** Approximates a mid-size model on one accelerator; operators set the value they measure. */
    public static final PrefillCost DEFAULT = new PrefillCost(200_000);

    public PrefillCost {
        if (!(attentionDoublingTokens > 0)) {
            throw new IllegalArgumentException("attentionDoublingTokens must be above 0: " + attentionDoublingTokens);
        }
    }

    /** Cost of prefilling the tokens from {@code cachedTokens} to {@code promptTokens}. */
    public long costTokens(int promptTokens, int cachedTokens) {
        double uncached = Math.max(0, promptTokens - cachedTokens);
        double meanContext = (promptTokens + (double) cachedTokens) / 2;
        return Math.round(uncached * (1 + meanContext / attentionDoublingTokens));
    }
}
