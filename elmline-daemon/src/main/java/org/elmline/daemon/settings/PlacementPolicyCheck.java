package org.elmline.daemon.settings;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.elmline.core.placement.PlacementPolicies;

/** Checks that the placement policy in the settings is registered in this program. */
final class PlacementPolicyCheck implements CrossFieldCheck {
    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        JsonNode policy = settings.at("/placement/policy");
        List<String> registered = PlacementPolicies.names();
        if (policy.isTextual() && !registered.contains(policy.asText())) {
            problems.accept(new SettingsProblem(
                    "/placement/policy",
                    "no policy " + policy.asText() + " is registered; there are " + String.join(", ", registered)));
        }
    }
}
