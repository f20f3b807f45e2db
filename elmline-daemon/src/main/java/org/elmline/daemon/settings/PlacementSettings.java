package org.elmline.daemon.settings;

import org.elmline.core.placement.PlacementPolicies;

/**
 * How requests are placed on engines.
 *
 * @param policy name of a registered placement policy, for example {@code shortest-wait}
 * @param harmWeight seconds of own wait that a read accepts for each second in which it would slow short requests down;
 *     more protects short requests
 * @param displacementWeight seconds of own wait that a request accepts for each second by which it would hold up a longer
 *     prefill
 * @param maxLongShare greatest share of a model's replicas that prompts over 32k tokens may use, above 0 and below 1
 */
public record PlacementSettings(String policy, double harmWeight, double displacementWeight, double maxLongShare) {
    private static final org.elmline.core.placement.PlacementSettings WEIGHTS =
            org.elmline.core.placement.PlacementSettings.defaults();
    public static final PlacementSettings DEFAULT = new PlacementSettings(
            PlacementPolicies.DEFAULT, WEIGHTS.harmWeight(), WEIGHTS.displacementWeight(), WEIGHTS.maxLongShare());

    /** The weights as policies take them. */
    public org.elmline.core.placement.PlacementSettings weights() {
        return org.elmline.core.placement.PlacementSettings.builder()
                .harmWeight(harmWeight)
                .displacementWeight(displacementWeight)
                .maxLongShare(maxLongShare)
                .build();
    }
}
