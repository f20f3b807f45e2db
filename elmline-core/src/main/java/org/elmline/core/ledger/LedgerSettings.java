package org.elmline.core.ledger;

import org.elmline.core.placement.PrefillCost;

/**
 * What an owner takes for granted of its engines.
 *
 * @param blockTokens tokens in one block of the prefix cache
 */
public record LedgerSettings(PrefillCost cost, int blockTokens) {
    public static final LedgerSettings DEFAULT = new LedgerSettings(PrefillCost.DEFAULT, 512);

    public LedgerSettings {
        if (blockTokens < 1) {
            throw new IllegalArgumentException("blockTokens must be at least 1: " + blockTokens);
        }
    }
}
