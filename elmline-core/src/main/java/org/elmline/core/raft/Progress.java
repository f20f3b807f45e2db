package org.elmline.core.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a leader knows of one other replica. */
final class Progress {
    /** Sent time of a replica that has not acknowledged anything in this term. */
    static final long NEVER = Long.MIN_VALUE;

    private record Inflight(long lastIndex, long bytes) {}

    private final Deque<Inflight> inflight = new ArrayDeque<>();
    private ProgressState state = ProgressState.PROBE;
    private long match;
    private long next;
    private long inflightBytes;
    private boolean probeSent;
    private long lastMove;
    private long ackedSent = NEVER;
    private long heard = NEVER;
    private Snapshot snapshot;
    private long snapshotOffset;

    Progress(long next, long now) {
        this.next = next;
        this.lastMove = now;
    }

    ProgressState state() {
        return state;
    }

    /** Up to where the replica's log is synced and the leader's. */
    long match() {
        return match;
    }

    long next() {
        return next;
    }

    /** When the newest request that the replica has answered was sent, on the leader's clock. */
    long ackedSent() {
        return ackedSent;
    }

    /** When the replica's last answer of this term came. */
    long heard() {
        return heard;
    }

    void acked(long sentNanos, long now) {
        ackedSent = Math.max(ackedSent, sentNanos);
        heard = now;
    }

    boolean maySend(int maxInflightBytes) {
        return switch (state) {
            case PROBE -> !probeSent;
            case REPLICATE -> inflightBytes < maxInflightBytes;
            case SNAPSHOT -> false;
        };
    }

    void sent(long lastIndex, long bytes, long now) {
        if (state == ProgressState.PROBE) {
            probeSent = true;
            lastMove = now;
            return;
        }
        if (inflight.isEmpty()) {
            lastMove = now;
        }
        inflight.add(new Inflight(lastIndex, bytes));
        inflightBytes += bytes;
        next = lastIndex + 1;
    }

    /** The logs agree up to an index. Returns whether that is news. */
    boolean matched(long index, long now) {
        while (!inflight.isEmpty() && inflight.peek().lastIndex() <= index) {
            inflightBytes -= inflight.poll().bytes();
        }
        boolean news = index > match;
        if (news || state == ProgressState.PROBE) {
            lastMove = now;
        }
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        boolean snapshotDone = state == ProgressState.SNAPSHOT && index >= snapshot.index();
        if (state == ProgressState.PROBE || snapshotDone) {
            next = match + 1;
            state = ProgressState.REPLICATE;
            snapshot = null;
            probeSent = false;
        }
        return news;
    }

    /** The replica's log does not agree at the request's previous entry. Returns whether that is news. */
    boolean rejected(long prevIndex, long hint, long now) {
        boolean stale = prevIndex <= match
                || state == ProgressState.SNAPSHOT
                || (state == ProgressState.PROBE && prevIndex != next - 1);
        if (stale) {
            return false;
        }
        probeFrom(Math.max(match, Math.min(hint, prevIndex - 1)) + 1, now);
        return true;
    }

    private void probeFrom(long index, long now) {
        state = ProgressState.PROBE;
        next = index;
        probeSent = false;
        inflight.clear();
        inflightBytes = 0;
        lastMove = now;
    }

    /** Nothing has moved for a while although something was sent: it was lost, or its answer was. */
    void sendAgain(long now) {
        if (state == ProgressState.SNAPSHOT) {
            lastMove = now;
            return;
        }
        probeFrom(match + 1, now);
    }

    boolean stalled(long now, long after) {
        return now - lastMove >= after;
    }

    void startSnapshot(Snapshot newest, long now) {
        probeFrom(newest.index() + 1, now);
        state = ProgressState.SNAPSHOT;
        snapshot = newest;
        snapshotOffset = 0;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    /** The replica holds the snapshot up to an offset. Returns whether the next piece is due. */
    boolean snapshotHeld(long index, long offset, long now) {
        boolean counts = state == ProgressState.SNAPSHOT && snapshot.index() == index && offset != snapshotOffset;
        if (counts) {
            snapshotOffset = Math.min(offset, snapshot.data().length);
            lastMove = now;
        }
        return counts;
    }
}
