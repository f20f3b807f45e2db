package org.elmline.core.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/** What a leader knows of one other replica. */
final class Progress {
    /** Sent time of a replica that has not acknowledged anything in this term. */
    static final long NEVER = Long.MIN_VALUE;

    private record Inflight(long lastIndex, long bytes) {}

    private final Deque<Inflight> inflightAppends = new ArrayDeque<>();
    private ProgressState state = ProgressState.PROBE;
    private long matchIndex;
    private long nextIndex;
    private long inflightBytes;
    private boolean probeSent;
    private long lastProgressNanos;
    private long ackedSentNanos = NEVER;
    private long lastContactNanos = NEVER;
    private Snapshot snapshot;
    private long snapshotOffset;

    Progress(long next, long now) {
        this.nextIndex = next;
        this.lastProgressNanos = now;
    }

    ProgressState state() {
        return state;
    }

    /** Up to where the replica's log is synced and the leader's. */
    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    /** When the newest request that the replica has answered was sent, on the leader's clock. */
    long ackedSentNanos() {
        return ackedSentNanos;
    }

    /** When the replica's last answer of this term came. */
    long lastContactNanos() {
        return lastContactNanos;
    }

    void recordAck(long sentNanos, long now) {
        ackedSentNanos = Math.max(ackedSentNanos, sentNanos);
        lastContactNanos = now;
    }

    boolean canSend(int maxInflightBytes) {
        return switch (state) {
            case PROBE -> !probeSent;
            case REPLICATE -> inflightBytes < maxInflightBytes;
            case SNAPSHOT -> false;
        };
    }

    void recordSent(long lastIndex, long bytes, long now) {
        if (state == ProgressState.PROBE) {
            probeSent = true;
            lastProgressNanos = now;
            return;
        }
        if (inflightAppends.isEmpty()) {
            lastProgressNanos = now;
        }
        inflightAppends.add(new Inflight(lastIndex, bytes));
        inflightBytes += bytes;
        nextIndex = lastIndex + 1;
    }

    /** The logs agree up to an index. Returns whether that is news. */
    boolean recordMatch(long index, long now) {
        while (!inflightAppends.isEmpty() && inflightAppends.peek().lastIndex() <= index) {
            inflightBytes -= inflightAppends.poll().bytes();
        }
        boolean news = index > matchIndex;
        if (news || state == ProgressState.PROBE) {
            lastProgressNanos = now;
        }
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        boolean snapshotDone = state == ProgressState.SNAPSHOT && index >= snapshot.index();
        if (state == ProgressState.PROBE || snapshotDone) {
            nextIndex = matchIndex + 1;
            state = ProgressState.REPLICATE;
            snapshot = null;
            probeSent = false;
        }
        return news;
    }

    /** The replica's log does not agree at the request's previous entry. Returns whether that is news. */
    boolean recordReject(long prevIndex, long hint, long now) {
        boolean stale = prevIndex <= matchIndex
                || state == ProgressState.SNAPSHOT
                || (state == ProgressState.PROBE && prevIndex != nextIndex - 1);
        if (stale) {
            return false;
        }
        probeFrom(Math.max(matchIndex, Math.min(hint, prevIndex - 1)) + 1, now);
        return true;
    }

    private void probeFrom(long index, long now) {
        state = ProgressState.PROBE;
        nextIndex = index;
        probeSent = false;
        inflightAppends.clear();
        inflightBytes = 0;
        lastProgressNanos = now;
    }

    /** Nothing has moved for a while although something was sent: it was lost, or its answer was. */
    void prepareResend(long now) {
        if (state == ProgressState.SNAPSHOT) {
            lastProgressNanos = now;
            return;
        }
        probeFrom(matchIndex + 1, now);
    }

    boolean isStalled(long now, long after) {
        return now - lastProgressNanos >= after;
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
    boolean recordSnapshotProgress(long index, long offset, long now) {
        boolean counts = state == ProgressState.SNAPSHOT && snapshot.index() == index && offset != snapshotOffset;
        if (counts) {
            snapshotOffset = Math.min(offset, snapshot.data().length);
            lastProgressNanos = now;
        }
        return counts;
    }
}
