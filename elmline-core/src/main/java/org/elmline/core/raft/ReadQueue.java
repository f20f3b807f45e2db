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
    private record PendingRead(long number, long index, long requestedAtNanos) {}

    private final Deque<PendingRead> pendingReads = new ArrayDeque<>();
    private final List<ConfirmedRead> confirmedReads = new ArrayList<>();

    void add(long number, long index, long askedNanos) {
        pendingReads.add(new PendingRead(number, index, askedNanos));
    }

    void confirmUpTo(long quorumSentNanos) {
        while (!pendingReads.isEmpty() && pendingReads.peek().requestedAtNanos() <= quorumSentNanos) {
            PendingRead next = pendingReads.poll();
            confirmedReads.add(new ConfirmedRead(next.number(), next.index()));
        }
    }

    boolean hasConfirmed() {
        return !confirmedReads.isEmpty();
    }

    List<ConfirmedRead> drainConfirmed() {
        List<ConfirmedRead> result = List.copyOf(confirmedReads);
        confirmedReads.clear();
        return result;
    }
}
