package org.elmline.core.raft;

import java.util.List;

/** What a replica does while it leads one term. */
final class Leader {
    private final NodeState state;
    private final Replicator replicator;
    private final Lease lease;
    private final ReadQueue readQueue = new ReadQueue();
    private final long electedAtNanos;
    private final long termStartIndex;
    private LeadershipTransfer transfer;
    private long nextHeartbeatNanos;
    private long lastHeartbeatNanos = Progress.NEVER;
    private long uncommittedBytes;

    Leader(NodeState state) {
        this.state = state;
        this.lease = new Lease(state.settings());
        this.electedAtNanos = state.nowNanos();
        this.termStartIndex = state.log().lastIndex() + 1;
        RaftLog log = state.log();
        for (long i = log.committedIndex() + 1; i <= log.lastIndex(); i++) {
            uncommittedBytes += log.entryAt(i).sizeBytes();
        }
        append(Entry.startOfTerm(termStartIndex, state.term()));
        this.replicator = new Replicator(state);
        sendHeartbeats();
        replicator.sendToAll();
    }

    private void append(Entry entry) {
        state.log().append(entry);
        uncommittedBytes += entry.sizeBytes();
    }

    void tick() {
        if (!hasQuorum()) {
            // Cut off from a majority, it could commit nothing and would only keep callers from the new leader.
            state.becomeFollower(state.term());
            return;
        }
        advanceTransfer();
        if (state.role() == Role.LEADER && state.nowNanos() >= nextHeartbeatNanos) {
            sendHeartbeats();
        }
    }

    private void sendHeartbeats() {
        nextHeartbeatNanos = state.nowNanos() + state.settings().heartbeatNanos();
        lastHeartbeatNanos = state.nowNanos();
        replicator.sendHeartbeats();
        updateQuorumContact();
    }

    private boolean hasQuorum() {
        // Counted from the coming of answers, not from the sending as the lease is: a leader whose disk stalled for a
        // moment would step down without need, though a majority still answers it.
        long heard = Quorum.highestReached(state.log().membership(), replicator::lastContactNanos);
        return state.nowNanos() - Math.max(heard, electedAtNanos)
                < state.settings().electionTimeoutNanos();
    }

    private void updateQuorumContact() {
        long answered = Quorum.highestReached(state.log().membership(), replicator::ackedSentNanos);
        lease.extend(answered);
        readQueue.confirmUpTo(answered);
    }

    ProposeOutcome propose(List<byte[]> commands) {
        ProposeRefusal refusal = refusal(commands);
        if (refusal != null) {
            return new ProposeOutcome.Refused(refusal);
        }
        long first = state.log().lastIndex() + 1;
        for (byte[] each : commands) {
            append(new Entry(state.log().lastIndex() + 1, state.term(), EntryKind.COMMAND, each));
        }
        replicator.sendToAll();
        return new ProposeOutcome.Appended(first, state.log().lastIndex(), state.term());
    }

    private ProposeRefusal refusal(List<byte[]> commands) {
        if (transfer != null && transfer.refusesProposals()) {
            return ProposeRefusal.TRANSFERRING;
        }
        long bytes = 0;
        for (byte[] each : commands) {
            if (each.length > state.settings().maxCommandBytes()) {
                return ProposeRefusal.TOO_LARGE;
            }
            bytes += each.length + Entry.OVERHEAD_BYTES;
        }
        boolean fits = uncommittedBytes + bytes <= state.settings().maxUncommittedBytes();
        return fits ? null : ProposeRefusal.TOO_MUCH_UNCOMMITTED;
    }

    ProposeOutcome propose(MembershipChange change) {
        if (transfer != null) {
            return new ProposeOutcome.Refused(ProposeRefusal.TRANSFERRING);
        }
        RaftLog log = state.log();
        ProposeRefusal refusal =
                MembershipRules.refusal(log, state.term(), change, replicator.matchIndex(change.replica()));
        if (refusal != null) {
            return new ProposeOutcome.Refused(refusal);
        }
        long index = log.lastIndex() + 1;
        append(Entry.membership(index, state.term(), change.applyTo(log.membership())));
        replicator.onMembershipChange();
        replicator.sendToAll();
        return new ProposeOutcome.Appended(index, index, state.term());
    }

    ReadOutcome readIndex(long number) {
        if (!hasCommittedInTerm()) {
            return new ReadOutcome.StartOfTermPending();
        }
        readQueue.add(number, state.log().committedIndex(), state.nowNanos());
        if (lastHeartbeatNanos != state.nowNanos()) {
            sendHeartbeats();
        }
        updateQuorumContact();
        return new ReadOutcome.AwaitingQuorum(number);
    }

    private boolean hasCommittedInTerm() {
        return state.log().committedIndex() >= termStartIndex;
    }

    /** No lease before the own term has a commit: until then the state may lack what earlier leaders committed. */
    long leaseUntilNanos() {
        return hasCommittedInTerm() ? lease.leaseUntilNanos() : RaftNode.NO_LEASE;
    }

    boolean startTransfer(ReplicaId target) {
        boolean possible = transfer == null
                && !target.equals(state.self())
                && state.log().membership().isVoter(target);
        if (possible) {
            transfer = new LeadershipTransfer(target);
            lease.freeze();
            advanceTransfer();
        }
        return possible;
    }

    /** The voter that holds most of the log, null when there is no other. */
    ReplicaId mostUpToDateVoter() {
        ReplicaId best = null;
        for (ReplicaId each : state.log().membership().voters()) {
            boolean better = best == null || replicator.matchIndex(each) > replicator.matchIndex(best);
            if (!each.equals(state.self()) && better) {
                best = each;
            }
        }
        return best;
    }

    private void advanceTransfer() {
        if (transfer == null || !lease.hasEnded(state.nowNanos())) {
            return;
        }
        if (!transfer.refusesProposals()) {
            transfer.refuseProposals(state.nowNanos(), state.settings().electionTimeoutNanos());
        }
        if (transfer.hasTimedOut(state.nowNanos())) {
            // The lease can't start again in this term, so this leader is of little use; let any voter be elected.
            state.becomeFollower(state.term());
            return;
        }
        boolean holdsAll =
                replicator.matchIndex(transfer.target()) == state.log().lastIndex();
        if (holdsAll
                && transfer.isTimeoutNowDue(state.nowNanos(), state.settings().heartbeatNanos())) {
            transfer.onTimeoutNowSent(state.nowNanos());
            state.send(new Message.TimeoutNow(state.self(), transfer.target(), state.term()));
        }
    }

    void onHeartbeatResponse(Message.HeartbeatResponse answer) {
        if (recordAck(answer.from(), answer.sentNanos())) {
            replicator.onHeartbeatResponse(answer.from());
        }
    }

    void onAppendResponse(Message.AppendResponse answer) {
        if (recordAck(answer.from(), answer.sentNanos()) && replicator.onAppendResponse(answer)) {
            commit();
            advanceTransfer();
        }
    }

    void onSnapshotResponse(Message.SnapshotResponse answer) {
        if (recordAck(answer.from(), answer.sentNanos())) {
            replicator.onSnapshotResponse(answer);
        }
    }

    /** Returns whether the answer is from a member. */
    private boolean recordAck(ReplicaId from, long sentNanos) {
        Progress progress = replicator.progressOf(from);
        if (progress == null) {
            return false;
        }
        progress.recordAck(sentNanos, state.nowNanos());
        updateQuorumContact();
        return true;
    }

    /**
     * Commits what a majority has synced. Only an entry of the own term commits by count; earlier ones commit with it
     * (Raft paper, section 5.4.2).
     */
    void commit() {
        RaftLog log = state.log();
        long reached = Quorum.highestReached(log.membership(), replicator::matchIndex);
        if (reached <= log.committedIndex() || log.termAt(reached) != state.term()) {
            return;
        }
        for (long i = log.committedIndex() + 1; i <= reached; i++) {
            uncommittedBytes -= log.entryAt(i).sizeBytes();
        }
        log.commitTo(reached);
        boolean removed = !state.isVoter() && log.committedIndex() >= log.membershipIndex();
        if (removed) {
            replicator.sendHeartbeats();
            state.becomeFollower(state.term());
        }
    }

    boolean isCaughtUp(ReplicaId id) {
        return hasCommittedInTerm() && replicator.matchIndex(id) >= state.log().committedIndex();
    }

    ReadQueue readQueue() {
        return readQueue;
    }

    /** Nanoseconds since the last sign of life of a member, counted from the election at the earliest. */
    long nanosSinceContact(ReplicaId id) {
        return state.nowNanos() - Math.max(replicator.lastContactNanos(id), electedAtNanos);
    }
}
