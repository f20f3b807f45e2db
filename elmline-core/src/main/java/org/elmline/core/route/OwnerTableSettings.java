package org.elmline.core.route;

import org.elmline.core.placement.PrefillCost;

/**
 * Settings of an entry's choice of owner.
 *
 * @param maxAgeMillis milliseconds after which a summary is ignored; several intervals of {@link SummarySchedule}
 * @param otherRegionMillis milliseconds that a request to another region takes longer
 * @param blockTokens tokens in one block of the prefix cache
 */
public record OwnerTableSettings(long maxAgeMillis, long otherRegionMillis, PrefillCost cost, int blockTokens) {
    /** Suits one region of up to about twenty entries. */
    public static final OwnerTableSettings DEFAULT = new OwnerTableSettings(10_000, 60, PrefillCost.DEFAULT, 512);
}
