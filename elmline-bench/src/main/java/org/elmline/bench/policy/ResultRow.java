package org.elmline.bench.policy;

import org.elmline.bench.workload.PromptMix;
import org.elmline.core.common.LengthClass;

/**
 * One line of a table.
 *
 * @param isolatedShortSeconds least p95 time to first token over all variants, for the same short requests alone
 */
record ResultRow(
        PromptMix mix, double load, Fault fault, Variant variant, RunResult result, double isolatedShortSeconds) {
    double shortSlowdown() {
        return result.firstTokenSeconds(LengthClass.SHORT, 95) / isolatedShortSeconds;
    }
}
