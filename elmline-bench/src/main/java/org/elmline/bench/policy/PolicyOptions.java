package org.elmline.bench.policy;

import java.nio.file.Path;
import java.util.List;

import org.elmline.bench.workload.PromptMix;

/**
 * Options of a policy measurement.
 *
 * @param seconds length of each run on its manual clock
 * @param seeds seeds of the runs of each point, whose results are merged
 * @param faultLoad the load at which faults are measured; 0 to measure none
 * @param threads number of runs computed in parallel
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
    /**
     * The measurement of docs/MEASUREMENTS.md. No setting was tuned on its seeds, so the figures don't favour a tuned
     * setting.
     */
    public static PolicyOptions full(Path output) {
        return new PolicyOptions(
                List.of(PromptMix.values()), List.of(0.5, 0.8, 0.95, 1.2), 0.8, 600, List.of(11L, 12L, 13L), 4, output);
    }

    /** A short measurement that takes seconds. */
    public static PolicyOptions quick() {
        return new PolicyOptions(List.of(PromptMix.SNOWPAW), List.of(0.8), 0, 120, List.of(11L), 2, null);
    }
}
