package org.elmline.core.raft;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sends a leader's log to the other replicas and tracks the progress of each. Indexes are log positions, times are
 * nanoseconds of the leader's monotonic clock.
 */
final class Replicator {
    private final NodeState state;
    private final Map<ReplicaId, Progress> progressByReplica = new HashMap<>();

    Replicator(NodeState state) {
        this.state = state;
        onMembershipChange();
    }

    /** Starts tracking new members and stops tracking removed ones. */
    void onMembershipChange() {
        Membership membership = state.log().membership();
        progressByReplica.keySet().removeIf(each -> !membership.contains(each));
        for (ReplicaId each : membership.all()) {
            if (!each.equals(state.self())) {
                progressByReplica.computeIfAbsent(
                        each, id -> new Progress(state.log().lastIndex() + 1));
            }
        }
    }

    /** Returns null for a replica that is not a member, and for the leader itself. */
    Progress progressOf(ReplicaId id) {
        return progressByReplica.get(id);
    }

    /** Index up to which a replica's log is synced and matches the leader's, 0 when unknown. */
    long matchIndex(ReplicaId id) {
        if (id.equals(state.self())) {
            return state.log().syncedIndex();
        }
        Progress progress = progressByReplica.get(id);
        return progress == null ? 0 : progress.matchIndex();
    }

    long ackedSentNanos(ReplicaId id) {
        if (id.equals(state.self())) {
            return state.nowNanos();
        }
        Progress progress = progressByReplica.get(id);
        return progress == null ? Progress.NEVER : progress.ackedSentNanos();
    }

    /** Time at which the last answer of a replica arrived, {@link Progress#NEVER} when there is none. */
    long lastContactNanos(ReplicaId id) {
        if (id.equals(state.self())) {
            return state.nowNanos();
        }
        Progress progress = progressByReplica.get(id);
        return progress == null ? Progress.NEVER : progress.lastContactNanos();
    }

    void sendToAll() {
        for (ReplicaId each : state.log().membership().all()) {
            sendTo(each);
        }
    }

    /** Sends the entries or the snapshot that the replica lacks, as far as the limits allow. */
    void sendTo(ReplicaId id) {
        Progress to = progressByReplica.get(id);
        if (to == null) {
            return;
        }
        while (to.canSend(state.settings().maxInflightBytes())) {
            boolean nothingToSend = to.nextIndex() > state.log().lastIndex();
            if (nothingToSend && to.state() == ProgressState.REPLICATE) {
                return;
            }
            if (!state.log().hasTermAt(to.nextIndex() - 1)) {
                to.startSnapshot(state.log().snapshot());
                sendChunk(id, to);
                return;
            }
            sendEntries(id, to);
        }
    }

    private void sendEntries(ReplicaId id, Progress to) {
        RaftLog log = state.log();
        long prev = to.nextIndex() - 1;
        List<Entry> entries = log.entriesFrom(to.nextIndex(), state.settings().maxAppendBytes());
        state.send(new Message.AppendRequest(
                state.self(),
                id,
                state.term(),
                prev,
                log.termAt(prev),
                entries,
                log.committedIndex(),
                state.nowNanos()));
        long bytes = entries.stream().mapToLong(Entry::sizeBytes).sum();
        to.recordSent(prev + entries.size(), bytes, state.nowNanos());
    }

    private void sendChunk(ReplicaId id, Progress to) {
        Snapshot snapshot = to.snapshot();
        byte[] data = snapshot.data();
        to.recordChunkSent(state.nowNanos());
        int from = (int) to.snapshotOffset();
        int until = Math.min(data.length, from + state.settings().snapshotChunkBytes());
        state.send(new Message.SnapshotChunk(
                state.self(),
                id,
                state.term(),
                snapshot.index(),
                snapshot.term(),
                snapshot.membership(),
                from,
                data.length,
                java.util.Arrays.copyOfRange(data, from, until),
                state.nowNanos()));
    }

    void sendHeartbeats() {
        for (ReplicaId each : state.log().membership().all()) {
            Progress to = progressByReplica.get(each);
            if (to != null) {
                long commit = Math.min(to.matchIndex(), state.log().committedIndex());
                state.send(new Message.Heartbeat(state.self(), each, state.term(), commit, state.nowNanos()));
            }
        }
    }

    void onHeartbeatResponse(ReplicaId id, long sentNanos) {
        Progress from = progressByReplica.get(id);
        boolean behind = from.matchIndex() < state.log().lastIndex();
        if (!behind || !from.isRequestLost(sentNanos)) {
            return;
        }
        from.prepareResend();
        if (from.state() == ProgressState.SNAPSHOT) {
            sendChunk(id, from);
        } else {
            sendTo(id);
        }
    }

    /** Returns whether the match index of the replica has advanced. */
    boolean onAppendResponse(Message.AppendResponse answer) {
        Progress from = progressByReplica.get(answer.from());
        boolean advanced;
        if (answer.accepted()) {
            advanced =
                    from.recordMatch(Math.min(answer.matchIndex(), state.log().lastIndex()));
        } else {
            advanced = from.recordReject(answer.prevIndex(), answer.matchIndex());
        }
        sendTo(answer.from());
        return advanced && answer.accepted();
    }

    void onSnapshotResponse(Message.SnapshotResponse answer) {
        Progress from = progressByReplica.get(answer.from());
        if (from.recordSnapshotProgress(answer.index(), answer.nextOffset())) {
            sendChunk(answer.from(), from);
        }
    }
}
