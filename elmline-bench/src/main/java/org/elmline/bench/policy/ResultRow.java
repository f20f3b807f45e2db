package org.elmline.bench.policy;

import org.elmline.bench.workload.PromptMix;
import org.elmline.core.common.LengthClass;

/**
 * One row of a results table.
 *
 * @param isolatedShortSeconds lowest p95 time to first token over all variants for the same short requests alone, in
 *     seconds
 */
record ResultRow(
        PromptMix mix, double load, Fault fault, Variant variant, RunResult result, double isolatedShortSeconds) {
    double shortSlowdown() {
        return result.firstTokenSeconds(LengthClass.SHORT, 95) / isolatedShortSeconds;
    }
}
