package org.elmline.bench.policy;

import java.util.List;

import org.elmline.bench.workload.Arrival;
import org.elmline.core.common.LengthClass;
import org.elmline.core.placement.PlacementSettings;
import org.elmline.standin.model.EngineProfile;

/**
 * Inputs of one run, except the policy.
 *
 * @param seconds duration of the arrivals; requests that arrive in the first tenth are not counted
 * @param settings weights, and the priorities under which engines serve each class
 */
public record Scenario(
        int engines,
        EngineProfile profile,
        List<Arrival> arrivals,
        double seconds,
        Fault fault,
        PlacementSettings settings,
        long seed) {
    /** The same run with only its short requests. */
    public Scenario shortOnly() {
        List<Arrival> only = arrivals.stream()
                .filter(each -> each.lengthClass() == LengthClass.SHORT)
                .toList();
        return new Scenario(engines, profile, only, seconds, fault, settings, seed);
    }

    long nanosAt(double share) {
        return (long) (seconds * share * 1e9);
    }
}
