package org.elmline.daemon.backend;

import org.elmline.core.ledger.LedgerSettings;
import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.daemon.settings.PlacementPolicySettings;

/** Creates the placement policy and the weights that the settings name. */
public final class PlacementFactory {
    private PlacementFactory() {}

    /**
     * Creates the policy.
     *
     * @throws IllegalArgumentException when no such policy is registered; the message names those that are
     */
    public static PlacementPolicy policy(PlacementPolicySettings settings) {
        return PlacementPolicies.named(settings.policy(), weights(settings))
                .orElseThrow(() -> new IllegalArgumentException(
                        "no placement policy " + settings.policy() + "; there are " + PlacementPolicies.names()));
    }

    /** The ledger predicts with the same weights as the policy. */
    public static LedgerSettings ledgerSettings(PlacementPolicySettings settings) {
        return new LedgerSettings(weights(settings), LedgerSettings.DEFAULT.blockTokens());
    }

    private static org.elmline.core.placement.PlacementSettings weights(PlacementPolicySettings settings) {
        org.elmline.core.placement.PlacementSettings defaults = org.elmline.core.placement.PlacementSettings.defaults();
        return org.elmline.core.placement.PlacementSettings.builder()
                .shortSlowdownWeight(defaults.shortSlowdownWeight() * settings.shortSlowdownWeight())
                .longStepSeconds(defaults.longStepSeconds() * settings.shortSlowdownWeight())
                .maxLongShare(settings.maxLongShare())
                .build();
    }
}
