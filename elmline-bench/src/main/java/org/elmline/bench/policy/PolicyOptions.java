package org.elmline.bench.policy;

import java.nio.file.Path;
import java.util.List;

import org.elmline.bench.workload.PromptMix;

/**
 * What a policy measurement runs.
 *
 * @param seconds length of each run on its manual clock
 * @param seeds runs of each point, added up
 * @param faultLoad the load at which faults are measured
 * @param threads runs computed at one time
 * @param output folder for tables and plots, or null to print only
 */
public record PolicyOptions(
        List<PromptMix> mixes,
        List<Double> loads,
        double faultLoad,
        double seconds,
        List<Long> seeds,
        int threads,
        Path output) {
    /** The measurement of docs/MEASUREMENTS.md: seeds on which nothing was tuned. */
    public static PolicyOptions full(Path output) {
        return new PolicyOptions(
                List.of(PromptMix.values()), List.of(0.5, 0.8, 0.95, 1.2), 0.8, 600, List.of(11L, 12L, 13L), 4, output);
    }

    /** A look that takes seconds. */
    public static PolicyOptions quick() {
        return new PolicyOptions(List.of(PromptMix.SNOWPAW), List.of(0.8), 0, 120, List.of(11L), 2, null);
    }
}
