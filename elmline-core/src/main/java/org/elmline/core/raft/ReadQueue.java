package org.elmline.core.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads that wait for a majority to answer a request sent no earlier than they came (Raft thesis, section 6.4). A
 * deposed leader that was frozen would otherwise answer from a state that others have changed.
 */
final class ReadQueue {
    private record Waiting(long number, long index, long askedNanos) {}

    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final List<ConfirmedRead> confirmed = new ArrayList<>();

    void add(long number, long index, long askedNanos) {
        waiting.add(new Waiting(number, index, askedNanos));
    }

    void answered(long quorumSentNanos) {
        while (!waiting.isEmpty() && waiting.peek().askedNanos() <= quorumSentNanos) {
            Waiting next = waiting.poll();
            confirmed.add(new ConfirmedRead(next.number(), next.index()));
        }
    }

    boolean hasConfirmed() {
        return !confirmed.isEmpty();
    }

    List<ConfirmedRead> drainConfirmed() {
        List<ConfirmedRead> result = List.copyOf(confirmed);
        confirmed.clear();
        return result;
    }
}
