package org.elmline.daemon.backend;

import org.elmline.core.ledger.LedgerSettings;
import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.daemon.settings.PlacementPolicySettings;

/** Turns the settings of placement into the policy and the weights that they name. */
public final class PlacementFactory {
    private PlacementFactory() {}

    /** Fails, naming what there is, when no such policy is registered. */
    public static PlacementPolicy policy(PlacementPolicySettings settings) {
        return PlacementPolicies.named(settings.policy(), weights(settings))
                .orElseThrow(() -> new IllegalArgumentException(
                        "no placement policy " + settings.policy() + "; there are " + PlacementPolicies.names()));
    }

    /** The ledger predicts under the same weights as the policy. */
    public static LedgerSettings ledgerSettings(PlacementPolicySettings settings) {
        return new LedgerSettings(weights(settings), LedgerSettings.DEFAULT.blockTokens());
    }

    private static org.elmline.core.placement.PlacementSettings weights(PlacementPolicySettings settings) {
        org.elmline.core.placement.PlacementSettings measured = org.elmline.core.placement.PlacementSettings.defaults();
        return org.elmline.core.placement.PlacementSettings.builder()
                .shortSlowdownWeight(measured.shortSlowdownWeight() * settings.shortSlowdownWeight())
                .longStepSeconds(measured.longStepSeconds() * settings.shortSlowdownWeight())
                .maxLongShare(settings.maxLongShare())
                .build();
    }
}
