package org.elmline.core.placement;

/**
 * The work of reading a prompt, in tokens of an empty context. Attention over what was read before makes later tokens
 * dearer: the cost of one token doubles at a context of {@code doublingTokens}, so a prompt of a million tokens costs
 * several times its length.
 */
public record PrefillCost(double attentionDoublingTokens) {
    /** Close to a mid-size model on one accelerator; operators set what they measure. */
    public static final PrefillCost DEFAULT = new PrefillCost(200_000);

    public PrefillCost {
        if (!(attentionDoublingTokens > 0)) {
            throw new IllegalArgumentException("doublingTokens must be above 0: " + attentionDoublingTokens);
        }
    }

    /** Cost of reading the tokens from {@code cachedTokens} to {@code promptTokens}. */
    public long costTokens(int promptTokens, int cachedTokens) {
        double uncached = Math.max(0, promptTokens - cachedTokens);
        double meanContext = (promptTokens + (double) cachedTokens) / 2;
        return Math.round(uncached * (1 + meanContext / attentionDoublingTokens));
    }
}
