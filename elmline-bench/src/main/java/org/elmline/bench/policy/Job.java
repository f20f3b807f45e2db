package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.elmline.bench.workload.Arrival;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;

/** State of one simulated request. Not thread-safe. */
final class Job {
    /**
     * Placement of one segment of the prompt; a prompt that fits one engine has one segment.
     *
     * @param sequence id of the sequence in the engine model, unique in a run
     * @param contextTokens tokens of the prompt before this segment
     */
    record PlacedSegment(
            int engine,
            long sequence,
            LengthClass lengthClass,
            int promptTokens,
            int outputTokens,
            long contextTokens) {
        long kvTokens() {
            return (long) promptTokens + outputTokens;
        }
    }

    final Arrival arrival;
    final int number;
    final Set<BackendServerId> failedServers = new HashSet<>();
    List<PlacedSegment> segments = new ArrayList<>();
    int runningSegment;
    int placements;
    int deliveredTokens;
    long firstTokenNanos = -1;
    long endNanos = -1;
    boolean isRefused;
    boolean isFinished;

    Job(Arrival arrival, int number) {
        this.arrival = arrival;
        this.number = number;
    }

    long deadlineNanos() {
        return arrival.atNanos() + arrival.limitNanos();
    }

    /** Tokens to prefill: the prompt, and after the loss of an engine the answer so far. */
    int promptTokens() {
        return arrival.promptTokens() + deliveredTokens;
    }

    int outputTokens() {
        return arrival.outputTokens() - deliveredTokens;
    }
}
