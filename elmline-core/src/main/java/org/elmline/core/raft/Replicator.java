package org.elmline.core.raft;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sends a leader's log to the other replicas and keeps count of what each holds. */
final class Replicator {
    private final NodeState state;
    private final Map<ReplicaId, Progress> progress = new HashMap<>();

    Replicator(NodeState state) {
        this.state = state;
        membershipChanged();
    }

    /** Starts to count replicas that are new and forgets those that are gone. */
    void membershipChanged() {
        Membership membership = state.log().membership();
        progress.keySet().removeIf(each -> !membership.contains(each));
        for (ReplicaId each : membership.all()) {
            if (!each.equals(state.self())) {
                progress.computeIfAbsent(each, id -> new Progress(state.log().lastIndex() + 1, state.now()));
            }
        }
    }

    /** Null for a replica that is not a member, and for the leader itself. */
    Progress of(ReplicaId id) {
        return progress.get(id);
    }

    /** Up to where a replica's synced log is the leader's. */
    long match(ReplicaId id) {
        if (id.equals(state.self())) {
            return state.log().synced();
        }
        Progress known = progress.get(id);
        return known == null ? 0 : known.match();
    }

    long ackedSent(ReplicaId id) {
        if (id.equals(state.self())) {
            return state.now();
        }
        Progress known = progress.get(id);
        return known == null ? Progress.NEVER : known.ackedSent();
    }

    /** When the last answer of a replica came. */
    long heard(ReplicaId id) {
        if (id.equals(state.self())) {
            return state.now();
        }
        Progress known = progress.get(id);
        return known == null ? Progress.NEVER : known.heard();
    }

    void sendToAll() {
        for (ReplicaId each : state.log().membership().all()) {
            sendTo(each);
        }
    }

    /** Sends what the replica lacks, as far as the bounds allow. */
    void sendTo(ReplicaId id) {
        Progress to = progress.get(id);
        if (to == null) {
            return;
        }
        while (to.maySend(state.settings().maxInflightBytes())) {
            boolean nothingNew = to.next() > state.log().lastIndex();
            if (nothingNew && to.state() == ProgressState.REPLICATE) {
                return;
            }
            if (!state.log().knows(to.next() - 1)) {
                to.startSnapshot(state.log().snapshot(), state.now());
                sendChunk(id, to);
                return;
            }
            sendEntries(id, to);
        }
    }

    private void sendEntries(ReplicaId id, Progress to) {
        RaftLog log = state.log();
        long prev = to.next() - 1;
        List<Entry> entries = log.from(to.next(), state.settings().maxAppendBytes());
        state.send(new Message.AppendRequest(
                state.self(), id, state.term(), prev, log.termAt(prev), entries, log.committed(), state.now()));
        long bytes = entries.stream().mapToLong(Entry::weight).sum();
        to.sent(prev + entries.size(), bytes, state.now());
    }

    private void sendChunk(ReplicaId id, Progress to) {
        Snapshot snapshot = to.snapshot();
        byte[] data = snapshot.data();
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
                state.now()));
    }

    void heartbeatToAll() {
        for (ReplicaId each : state.log().membership().all()) {
            Progress to = progress.get(each);
            if (to != null) {
                long commit = Math.min(to.match(), state.log().committed());
                state.send(new Message.Heartbeat(state.self(), each, state.term(), commit, state.now()));
            }
        }
    }

    void onHeartbeatAnswer(ReplicaId id) {
        Progress from = progress.get(id);
        boolean behind = from.match() < state.log().lastIndex();
        if (!behind || !from.stalled(state.now(), 2 * state.settings().heartbeatNanos())) {
            return;
        }
        from.sendAgain(state.now());
        if (from.state() == ProgressState.SNAPSHOT) {
            sendChunk(id, from);
        } else {
            sendTo(id);
        }
    }

    /** Returns whether the replica's known position moved. */
    boolean onAppendAnswer(Message.AppendResponse answer) {
        Progress from = progress.get(answer.from());
        boolean news;
        if (answer.accepted()) {
            news = from.matched(Math.min(answer.matchIndex(), state.log().lastIndex()), state.now());
        } else {
            news = from.rejected(answer.prevIndex(), answer.matchIndex(), state.now());
        }
        sendTo(answer.from());
        return news && answer.accepted();
    }

    void onSnapshotAnswer(Message.SnapshotResponse answer) {
        Progress from = progress.get(answer.from());
        if (from.snapshotHeld(answer.index(), answer.nextOffset(), state.now())) {
            sendChunk(answer.from(), from);
        }
    }
}
