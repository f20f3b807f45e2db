package org.elmline.core.raft;

/** Handles the requests of the current leader: entries, heartbeats and snapshots. */
final class Follower {
    private final NodeState state;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    Follower(NodeState state) {
        this.state = state;
    }

    void onAppendRequest(Message.AppendRequest request) {
        RaftLog log = state.log();
        long prev = request.prevIndex();
        if (prev < log.committedIndex() && !log.hasTermAt(prev)) {
            // Committed entries are the same on the leader, so it may continue after the committed index.
            respond(request, true, log.committedIndex());
            return;
        }
        if (!log.hasTermAt(prev) || log.termAt(prev) != request.prevTerm()) {
            respond(request, false, log.conflictHint(prev));
            return;
        }
        log.merge(request.entries());
        // Only the entries covered by this request are known to match the leader's log; later ones may be left over
        // from another term.
        long match = prev + request.entries().size();
        log.commitTo(Math.min(request.commit(), match));
        respond(request, true, match);
    }

    private void respond(Message.AppendRequest request, boolean accepted, long match) {
        state.send(new Message.AppendResponse(
                state.self(), request.from(), state.term(), accepted, request.prevIndex(), match, request.sentNanos()));
    }

    void onHeartbeat(Message.Heartbeat heartbeat) {
        // The leader sends no commit index beyond what this replica has acknowledged as synced. If the log is shorter,
        // acknowledged entries were lost, and commitTo fails so that the replica stops.
        state.log().commitTo(heartbeat.commit());
        state.send(new Message.HeartbeatResponse(state.self(), heartbeat.from(), state.term(), heartbeat.sentNanos()));
    }

    void onSnapshotChunk(Message.SnapshotChunk chunk) {
        RaftLog log = state.log();
        if (chunk.index() <= log.committedIndex()) {
            respondInstalled(chunk, log.committedIndex());
            return;
        }
        Snapshot snapshot = snapshotReceiver.accept(chunk);
        if (snapshot == null) {
            state.send(new Message.SnapshotResponse(
                    state.self(),
                    chunk.from(),
                    state.term(),
                    chunk.index(),
                    snapshotReceiver.receivedBytes(),
                    chunk.sentNanos()));
            return;
        }
        if (log.hasTermAt(snapshot.index()) && log.termAt(snapshot.index()) == snapshot.term()) {
            // The log contains everything in the snapshot, so its entries are retained (Raft paper, figure 13, step 6).
            log.commitTo(snapshot.index());
        } else {
            log.install(snapshot);
        }
        respondInstalled(chunk, snapshot.index());
    }

    private void respondInstalled(Message.SnapshotChunk chunk, long match) {
        state.send(new Message.AppendResponse(
                state.self(), chunk.from(), state.term(), true, chunk.index(), match, chunk.sentNanos()));
    }
}
