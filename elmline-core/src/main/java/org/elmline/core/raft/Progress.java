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

    private record Inflight(long lastIndex, long bytes, long sentNanos) {}

    private final Deque<Inflight> inflightAppends = new ArrayDeque<>();
    private ProgressState state = ProgressState.PROBE;
    private long matchIndex;
    private long nextIndex;
    private long inflightBytes;
    private boolean probeSent;
    private long requestSentNanos;
    private long ackedSentNanos = NEVER;
    private long lastContactNanos = NEVER;
    private Snapshot snapshot;
    private long snapshotOffset;

    Progress(long nextIndex) {
        this.nextIndex = nextIndex;
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
            requestSentNanos = nowNanos;
            return;
        }
        inflightAppends.add(new Inflight(lastIndex, bytes, nowNanos));
        inflightBytes += bytes;
        nextIndex = lastIndex + 1;
    }

    /** Records that the logs match up to an index. Returns whether the match index has advanced. */
    boolean recordMatch(long index) {
        while (!inflightAppends.isEmpty() && inflightAppends.peek().lastIndex() <= index) {
            inflightBytes -= inflightAppends.poll().bytes();
        }
        boolean advanced = index > matchIndex;
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
    boolean recordReject(long prevIndex, long conflictHint) {
        boolean stale = prevIndex <= matchIndex
                || state == ProgressState.SNAPSHOT
                || (state == ProgressState.PROBE && prevIndex != nextIndex - 1);
        if (stale) {
            return false;
        }
        probeFrom(Math.max(matchIndex, Math.min(conflictHint, prevIndex - 1)) + 1);
        return true;
    }

    private void probeFrom(long index) {
        state = ProgressState.PROBE;
        nextIndex = index;
        probeSent = false;
        inflightAppends.clear();
        inflightBytes = 0;
    }

    /**
     * Whether a request or its answer was lost: the replica has answered a later message of this leader, and answers in
     * the order of receipt. The time since the request shows nothing, as a busy replica may take seconds for its answer.
     *
     * @param answeredSentNanos send time of the message that the replica has answered
     */
    boolean isRequestLost(long answeredSentNanos) {
        return switch (state) {
            case PROBE -> probeSent && answeredSentNanos > requestSentNanos;
            case REPLICATE -> !inflightAppends.isEmpty()
                    && answeredSentNanos > inflightAppends.peek().sentNanos();
            case SNAPSHOT -> answeredSentNanos > requestSentNanos;
        };
    }

    /** Prepares to send a lost request again; a lost probe shows nothing of the replica's log and is repeated as it was. */
    void prepareResend() {
        switch (state) {
            case PROBE -> probeSent = false;
            case REPLICATE -> probeFrom(matchIndex + 1);
            default -> {
                // The chunk at the offset that the replica has reached is sent again.
            }
        }
    }

    void startSnapshot(Snapshot newSnapshot) {
        probeFrom(newSnapshot.index() + 1);
        state = ProgressState.SNAPSHOT;
        snapshot = newSnapshot;
        snapshotOffset = 0;
    }

    void recordChunkSent(long nowNanos) {
        requestSentNanos = nowNanos;
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    /** Records how many bytes of the snapshot the replica has received. Returns whether to send the next chunk. */
    boolean recordSnapshotProgress(long index, long offset) {
        boolean isCurrent = state == ProgressState.SNAPSHOT && snapshot.index() == index && offset != snapshotOffset;
        if (isCurrent) {
            snapshotOffset = Math.min(offset, snapshot.data().length);
        }
        return isCurrent;
    }
}
