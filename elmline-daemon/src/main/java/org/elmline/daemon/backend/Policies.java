package org.elmline.daemon.backend;

import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.daemon.settings.PlacementSettings;

/** Makes the placement policy that the settings name. */
public final class Policies {
    private Policies() {}

    /** The settings were checked before, so a name that is not registered is a broken invariant. */
    public static PlacementPolicy find(PlacementSettings settings) {
        return PlacementPolicies.named(settings.policy(), settings.weights())
                .orElseThrow(() -> new IllegalStateException("no placement policy " + settings.policy()));
    }
}
