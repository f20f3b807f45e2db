package org.elmline.core.raft;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads that wait until a majority has answered a request sent no earlier than the read was requested (Raft thesis,
 * section 6.4). Without this wait, a leader that was suspended and deposed would answer from outdated state.
 */
final class ReadQueue {
    private record PendingRead(long number, long index, long requestedAtNanos) {}

    private final Deque<PendingRead> pendingReads = new ArrayDeque<>();
    private final List<ConfirmedRead> confirmedReads = new ArrayList<>();

    void add(long number, long index, long requestedAtNanos) {
        pendingReads.add(new PendingRead(number, index, requestedAtNanos));
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
