package org.elmline.core.raft;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Replication state of one other replica, held by the leader. Indexes are log positions, times are nanoseconds of the
 * leader's monotonic clock.
 */
final class Progress {
    /** Send and contact time of a replica that has not acknowledged anything in this term. */
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

    Progress(long nextIndex, long nowNanos) {
        this.nextIndex = nextIndex;
        this.lastProgressNanos = nowNanos;
    }

    ProgressState state() {
        return state;
    }

    /** Index up to which the replica's log is synced and matches the leader's. */
    long matchIndex() {
        return matchIndex;
    }

    long nextIndex() {
        return nextIndex;
    }

    /** Send time of the newest request that the replica has answered. */
    long ackedSentNanos() {
        return ackedSentNanos;
    }

    /** Time at which the replica's last answer of this term arrived. */
    long lastContactNanos() {
        return lastContactNanos;
    }

    void recordAck(long sentNanos, long nowNanos) {
        ackedSentNanos = Math.max(ackedSentNanos, sentNanos);
        lastContactNanos = nowNanos;
    }

    boolean canSend(int maxInflightBytes) {
        return switch (state) {
            case PROBE -> !probeSent;
            case REPLICATE -> inflightBytes < maxInflightBytes;
            case SNAPSHOT -> false;
        };
    }

    void recordSent(long lastIndex, long bytes, long nowNanos) {
        if (state == ProgressState.PROBE) {
            probeSent = true;
            lastProgressNanos = nowNanos;
            return;
        }
        if (inflightAppends.isEmpty()) {
            lastProgressNanos = nowNanos;
        }
        inflightAppends.add(new Inflight(lastIndex, bytes));
        inflightBytes += bytes;
        nextIndex = lastIndex + 1;
    }

    /** Records that the logs match up to an index. Returns whether the match index has advanced. */
    boolean recordMatch(long index, long nowNanos) {
        while (!inflightAppends.isEmpty() && inflightAppends.peek().lastIndex() <= index) {
            inflightBytes -= inflightAppends.poll().bytes();
        }
        boolean advanced = index > matchIndex;
        if (advanced || state == ProgressState.PROBE) {
            lastProgressNanos = nowNanos;
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
        return advanced;
    }

    /** Records that the logs do not match at the previous entry of a request. Returns false for an outdated answer. */
    boolean recordReject(long prevIndex, long conflictHint, long nowNanos) {
        boolean stale = prevIndex <= matchIndex
                || state == ProgressState.SNAPSHOT
                || (state == ProgressState.PROBE && prevIndex != nextIndex - 1);
        if (stale) {
            return false;
        }
        probeFrom(Math.max(matchIndex, Math.min(conflictHint, prevIndex - 1)) + 1, nowNanos);
        return true;
    }

    private void probeFrom(long index, long nowNanos) {
        state = ProgressState.PROBE;
        nextIndex = index;
        probeSent = false;
        inflightAppends.clear();
        inflightBytes = 0;
        lastProgressNanos = nowNanos;
    }

    /** Prepares to send again after a time without progress, as a request or its answer was lost. */
    void prepareResend(long nowNanos) {
        if (state == ProgressState.SNAPSHOT) {
            lastProgressNanos = nowNanos;
            return;
        }
        probeFrom(matchIndex + 1, nowNanos);
    }

    boolean isStalled(long nowNanos, long timeoutNanos) {
        return nowNanos - lastProgressNanos >= timeoutNanos;
    }

    void startSnapshot(Snapshot newSnapshot, long nowNanos) {
        probeFrom(newSnapshot.index() + 1, nowNanos);
        state = ProgressState.SNAPSHOT;
        snapshot = newSnapshot;
        snapshotOffset = 0;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    /** Records how many bytes of the snapshot the replica has received. Returns whether to send the next chunk. */
    boolean recordSnapshotProgress(long index, long offset, long nowNanos) {
        boolean isCurrent = state == ProgressState.SNAPSHOT && snapshot.index() == index && offset != snapshotOffset;
        if (isCurrent) {
            snapshotOffset = Math.min(offset, snapshot.data().length);
            lastProgressNanos = nowNanos;
        }
        return isCurrent;
    }
}
