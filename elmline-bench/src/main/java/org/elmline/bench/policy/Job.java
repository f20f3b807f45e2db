package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.elmline.bench.workload.Arrival;
import org.elmline.core.placement.PrefillBacklog;

/** One request on its way through the fleet. */
final class Job {
    /** Where one segment of the prompt is placed; prompts that fit one engine have one segment. */
    static final class Placed {
        final int engine;
        final long sequence;
        final int promptTokens;
        final int outputTokens;
        final long contextTokens;
        PrefillBacklog.Prefill prefill;
        double predictedSeconds;

        Placed(int engine, long sequence, int promptTokens, int outputTokens, long contextTokens) {
            this.engine = engine;
            this.sequence = sequence;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
            this.contextTokens = contextTokens;
        }

        long kvTokens() {
            return (long) promptTokens + outputTokens;
        }
    }

    final Arrival arrival;
    final int number;
    final List<Placed> placed = new ArrayList<>();
    int running;
    int delivered;
    long firstTokenNanos = -1;
    long endNanos = -1;
    boolean over;

    Job(Arrival arrival, int number) {
        this.arrival = arrival;
        this.number = number;
    }

    long deadlineNanos() {
        return arrival.atNanos() + arrival.limitNanos();
    }
}
