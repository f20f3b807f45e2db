package org.elmline.bench.workload;

import java.util.List;

import org.elmline.core.common.LengthClass;

/**
 * One request of a workload.
 *
 * @param atNanos arrival time in nanoseconds from the start of the run
 * @param organisation index of the organisation that sends it
 * @param blockHashes chained hash of each leading block of its prompt
 */
public record Arrival(long atNanos, int organisation, int promptTokens, int outputTokens, List<Long> blockHashes) {
    public LengthClass lengthClass() {
        return LengthClass.of(promptTokens);
    }

    /** Time limit from arrival to the last token in nanoseconds, by length class. */
    public long limitNanos() {
        long seconds =
                switch (lengthClass()) {
                    case SHORT -> 10;
                    case MEDIUM -> 30;
                    case LONG -> 120;
                    case HUGE -> 300;
                };
        return seconds * 1_000_000_000L;
    }
}
