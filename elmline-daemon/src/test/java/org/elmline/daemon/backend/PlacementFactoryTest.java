package org.elmline.daemon.backend;

import org.elmline.core.placement.PlacementPolicies;
import org.elmline.daemon.settings.PlacementPolicySettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlacementFactoryTest {
    @Test
    void createsPolicyAndWeightsOfSettings() {
        for (String name : PlacementPolicies.names()) {
            assertEquals(
                    name,
                    PlacementFactory.policy(new PlacementPolicySettings(name, 1, 0.5))
                            .name());
        }
        assertEquals(PlacementPolicies.DEFAULT, PlacementPolicySettings.DEFAULT.policy());
        var weights = PlacementFactory.ledgerSettings(new PlacementPolicySettings("two-ended", 2, 0.5))
                .placement();
        var defaults = org.elmline.core.placement.PlacementSettings.defaults();
        assertEquals(0.5, weights.maxLongShare());
        assertEquals(2 * defaults.shortSlowdownWeight(), weights.shortSlowdownWeight());
        assertEquals(2 * defaults.longStepSeconds(), weights.longStepSeconds());
    }

    @Test
    void unknownPolicyFailsAndListsRegisteredPolicies() {
        PlacementPolicySettings misspelt = new PlacementPolicySettings("two-eneded", 1, 0.5);
        Exception failure = assertThrows(IllegalArgumentException.class, () -> PlacementFactory.policy(misspelt));
        assertTrue(failure.getMessage().contains("two-eneded"));
        assertTrue(failure.getMessage().contains("shortest-wait"));
    }
}
