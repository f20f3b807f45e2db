package org.elmline.bench.policy;

import org.elmline.bench.workload.Mix;
import org.elmline.core.common.LengthClass;

/**
 * One line of a table.
 *
 * @param shortAloneSeconds least p95 time to first token over all variants, for the same short requests alone
 */
record Row(Mix mix, double load, Fault fault, Variant variant, RunResult result, double shortAloneSeconds) {
    double shortSlowdown() {
        return result.firstTokenSeconds(LengthClass.SHORT, 95) / shortAloneSeconds;
    }
}
