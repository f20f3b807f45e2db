package org.elmline.core.control;

import java.util.Comparator;

import org.elmline.core.common.OrganisationId;

/**
 * Identity of a claim. Each organisation has its own key space, so that none can read or block another's call by using
 * its key. Ordered by issue time, the order in which claims expire.
 */
public record ClaimKey(OrganisationId organisation, IdempotencyKey key) implements Comparable<ClaimKey> {
    private static final Comparator<ClaimKey> ORDER =
            Comparator.comparing(ClaimKey::key).thenComparing(ClaimKey::organisation);

    public ClaimKey {
        if (organisation == null || key == null) {
            throw new IllegalArgumentException("a claim key needs organisation and key");
        }
    }

    @Override
    public int compareTo(ClaimKey other) {
        return ORDER.compare(this, other);
    }
}
