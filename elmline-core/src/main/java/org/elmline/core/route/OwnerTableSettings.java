package org.elmline.core.route;

import org.elmline.core.placement.PrefillCost;

/**
 * Dials of an entry's choice of owner.
 *
 * @param maxAgeMillis milliseconds after which a summary counts for nothing; several beats of {@link SummarySchedule}
 * @param otherRegionMillis milliseconds that a request to another region costs
 * @param blockTokens tokens in one block of the prefix cache
 */
public record OwnerTableSettings(long maxAgeMillis, long otherRegionMillis, PrefillCost cost, int blockTokens) {
    /** For one region of up to some twenty entries. */
    public static final OwnerTableSettings DEFAULT = new OwnerTableSettings(10_000, 60, PrefillCost.DEFAULT, 512);
}
