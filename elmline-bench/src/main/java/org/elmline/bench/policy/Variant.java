package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.PlacementSettings;

/**
 * One configuration that serves a workload.
 *
 * @param title its name in tables
 * @param policy name of the placement policy
 * @param isLengthBlind whether it ignores the lengths of prompts
 * @param usesOwner whether the daemons' owner runs, with admission, ledger and groups, or the policy alone
 */
public record Variant(
        String title, String policy, PlacementSettings settings, boolean isLengthBlind, boolean usesOwner) {
    /** A policy without the owner. */
    public Variant(String title, String policy, PlacementSettings settings, boolean isLengthBlind) {
        this(title, policy, settings, isLengthBlind, false);
    }

    private static final List<String> LENGTH_BLIND_POLICIES =
            List.of("round-robin", "random", "least-requests", "power-of-two");

    /**
     * All variants that a measurement compares: length-blind placement without and with class priorities in the
     * engines, then the others.
     */
    public static List<Variant> all() {
        List<Variant> all = new ArrayList<>();
        for (String each : LENGTH_BLIND_POLICIES) {
            all.add(lengthBlind(each));
        }
        for (String each : List.of("round-robin", "least-requests", "power-of-two", "fixed-split", "shortest-wait")) {
            all.add(prioritised(each));
        }
        all.add(prioritised("two-ended"));
        all.add(owner("shortest-wait"));
        all.add(owner("two-ended"));
        all.add(new Variant("shortest-wait, no priorities", "shortest-wait", noPriorities(0.95), false));
        all.add(new Variant("two-ended 0.8, no priorities", "two-ended", noPriorities(0.8), false));
        return all;
    }

    /** Length-blind placement with engines that serve in order of arrival. */
    public static Variant lengthBlind(String policy) {
        return new Variant(policy, policy, noPriorities(0.95), true);
    }

    /** A placement policy with engines that serve shorter classes first. */
    public static Variant prioritised(String policy) {
        return new Variant(policy + " + class priorities", policy, PlacementSettings.defaults(), false);
    }

    /** The default configuration of elmline. */
    public static Variant defaultVariant() {
        return prioritised(PlacementPolicies.DEFAULT);
    }

    /** The daemons' owner with a policy and class priorities. */
    public static Variant owner(String policy) {
        return new Variant("owner: " + policy, policy, PlacementSettings.defaults(), false, true);
    }

    RunResult run(Scenario scenario) {
        return new Simulation(scenario, newScheduler(scenario)).run();
    }

    private Scheduler newScheduler(Scenario scenario) {
        PlacementPolicy chosen = PlacementPolicies.named(policy, settings).orElseThrow();
        return usesOwner ? new OwnerScheduler(scenario, chosen) : new PolicyScheduler(scenario, chosen);
    }

    private static PlacementSettings noPriorities(double maxLongShare) {
        return PlacementSettings.builder()
                .priorities(0, 0, 0, 0)
                .maxLongShare(maxLongShare)
                .build();
    }
}
