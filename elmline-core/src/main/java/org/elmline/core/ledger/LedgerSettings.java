package org.elmline.core.ledger;

import org.elmline.core.placement.PlacementSettings;
import org.elmline.core.placement.PrefillCost;

/**
 * What an owner takes for granted of its engines.
 *
 * @param placement how engines order and pay for prompts; the policies predict with the same
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
