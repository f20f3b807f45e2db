package org.elmline.core.raft;

/** Takes what the leader of the term sends: entries, heartbeats and snapshots. */
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
            // Everything up to the commit is the leader's as well; it may go on from there.
            respond(request, true, log.committedIndex());
            return;
        }
        if (!log.hasTermAt(prev) || log.termAt(prev) != request.prevTerm()) {
            respond(request, false, log.conflictHint(prev));
            return;
        }
        log.merge(request.entries());
        // Only what this request covers is known to be the leader's; entries behind it may be left from another term.
        long match = prev + request.entries().size();
        log.commitTo(Math.min(request.commit(), match));
        respond(request, true, match);
    }

    private void respond(Message.AppendRequest request, boolean accepted, long match) {
        state.send(new Message.AppendResponse(
                state.self(), request.from(), state.term(), accepted, request.prevIndex(), match, request.sentNanos()));
    }

    void onHeartbeat(Message.Heartbeat heartbeat) {
        // The leader names no commit beyond what this replica has acknowledged as synced; a log that is shorter has
        // lost what it promised to keep, and the replica must stop.
        state.log().commitTo(heartbeat.commit());
        state.send(new Message.HeartbeatResponse(state.self(), heartbeat.from(), state.term(), heartbeat.sentNanos()));
    }

    void onSnapshotChunk(Message.SnapshotChunk chunk) {
        RaftLog log = state.log();
        if (chunk.index() <= log.committedIndex()) {
            respondInstalled(chunk, log.committedIndex());
            return;
        }
        Snapshot whole = snapshotReceiver.accept(chunk);
        if (whole == null) {
            state.send(new Message.SnapshotResponse(
                    state.self(),
                    chunk.from(),
                    state.term(),
                    chunk.index(),
                    snapshotReceiver.receivedBytes(),
                    chunk.sentNanos()));
            return;
        }
        if (log.hasTermAt(whole.index()) && log.termAt(whole.index()) == whole.term()) {
            // The log holds all that the snapshot does, so its entries stay (Raft paper, figure 13, step 6).
            log.commitTo(whole.index());
        } else {
            log.install(whole);
        }
        respondInstalled(chunk, whole.index());
    }

    private void respondInstalled(Message.SnapshotChunk chunk, long match) {
        state.send(new Message.AppendResponse(
                state.self(), chunk.from(), state.term(), true, chunk.index(), match, chunk.sentNanos()));
    }
}
