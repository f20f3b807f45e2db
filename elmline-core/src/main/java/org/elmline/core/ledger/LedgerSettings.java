package org.elmline.core.ledger;

import org.elmline.core.placement.PlacementSettings;
import org.elmline.core.placement.PrefillCost;

/**
 * What an owner assumes about its engines.
 *
 * @param placement how engines order prompts and what reading them costs; placement policies predict with the same
 *     values
 * @param blockTokens tokens in one block of the prefix cache
 */
public record LedgerSettings(PlacementSettings placement, int blockTokens) {
    public static final LedgerSettings DEFAULT = new LedgerSettings(PlacementSettings.defaults(), 512);

    public LedgerSettings {
        if (blockTokens < 1) {
            throw new IllegalArgumentException("blockTokens must be at least 1: " + blockTokens);
        }
    }

    public PrefillCost cost() {
        return new PrefillCost(placement.attentionDoublingTokens());
    }
}
