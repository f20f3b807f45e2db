package org.elmline.daemon.settings;

/**
 * How requests are placed on engines.
 *
 * @param policy name of a placement policy, for example {@code shortest-wait}
 * @param shortSlowdownWeight how much the slowdown of short requests counts against time to first token; 1 counts both
 *     the same, more protects short requests
 * @param maxLongShare greatest share of a model's replicas that long prompts may take under {@code two-ended}, 0 to 1
 */
public record PlacementPolicySettings(String policy, double shortSlowdownWeight, double maxLongShare) {
    public static final PlacementPolicySettings DEFAULT = new PlacementPolicySettings("shortest-wait", 1.0, 0.95);
}
