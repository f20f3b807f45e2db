package org.elmline.daemon.settings;

/**
 * Placement of requests on engines.
 *
 * @param policy name of a placement policy, for example {@code shortest-wait}
 * @param shortSlowdownWeight weight of the slowdown of short requests relative to time to first token; at 1 both count
 *     the same, higher values protect short requests
 * @param maxLongShare maximum share of a model's replicas that long prompts may occupy under {@code two-ended}, 0 to 1
 */
public record PlacementPolicySettings(String policy, double shortSlowdownWeight, double maxLongShare) {
    public static final PlacementPolicySettings DEFAULT = new PlacementPolicySettings("shortest-wait", 1.0, 0.95);
}
