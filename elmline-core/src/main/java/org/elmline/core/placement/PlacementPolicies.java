package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;

/** Looks up registered policies by name. */
public final class PlacementPolicies {
    /** The policy used if the settings name none. */
    public static final String DEFAULT = "shortest-wait";

    private PlacementPolicies() {}

    /** A new policy of that name with these settings, or empty if none is registered. */
    public static Optional<PlacementPolicy> named(String name, PlacementSettings settings) {
        for (PlacementPolicy each : ServiceLoader.load(PlacementPolicy.class)) {
            if (each.name().equals(name)) {
                return Optional.of(each.with(settings));
            }
        }
        return Optional.empty();
    }

    /** Names of all registered policies, sorted. */
    public static List<String> names() {
        return ServiceLoader.load(PlacementPolicy.class).stream()
                .map(each -> each.get().name())
                .sorted()
                .toList();
    }
}
