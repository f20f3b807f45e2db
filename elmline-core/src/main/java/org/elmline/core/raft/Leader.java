package org.elmline.core.raft;

import java.util.List;

/** State and behaviour of a replica as leader of one term. */
final class Leader {
    private final NodeState state;
    private final Replicator replicator;
    private final Lease lease;
    private final ReadQueue readQueue = new ReadQueue();
    private final QuorumContact quorumContact;
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
        this.quorumContact = new QuorumContact(state.settings(), electedAtNanos);
        this.termStartIndex = state.log().lastIndex() + 1;
        RaftLog log = state.log();
        for (long i = log.committedIndex() + 1; i <= log.lastIndex(); i++) {
            uncommittedBytes += log.entryAt(i).sizeBytes();
        }
        // Created before the first entry is appended, so that the first requests carry that entry.
        this.replicator = new Replicator(state);
        append(Entry.startOfTerm(termStartIndex, state.term()));
        sendHeartbeats();
        replicator.sendToAll();
    }

    private void append(Entry entry) {
        state.log().append(entry);
        uncommittedBytes += entry.sizeBytes();
    }

    void tick() {
        quorumContact.tick(
                state.nowNanos(), Quorum.highestReached(state.log().membership(), replicator::lastContactNanos));
        if (quorumContact.isLost()) {
            // Without contact to a majority this replica can commit nothing and would only keep callers from the new
            // leader.
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

    private void updateQuorumContact() {
        long quorumSentNanos = Quorum.highestReached(state.log().membership(), replicator::ackedSentNanos);
        lease.extend(quorumSentNanos);
        readQueue.confirmUpTo(quorumSentNanos);
    }

    ProposeOutcome propose(List<byte[]> commands) {
        ProposeRefusal refusal = refusal(commands);
        if (refusal != null) {
            return new ProposeOutcome.Refused(refusal);
        }
        long firstIndex = state.log().lastIndex() + 1;
        for (byte[] each : commands) {
            append(new Entry(state.log().lastIndex() + 1, state.term(), EntryKind.COMMAND, each));
        }
        replicator.sendToAll();
        return new ProposeOutcome.Appended(firstIndex, state.log().lastIndex(), state.term());
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

    /**
     * Until when the lease holds. There is no lease before an entry of the current term is committed: until then the
     * state machine may lack entries that earlier leaders committed.
     */
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

    /** The other voter with the longest matching log, null when there is none. */
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
            // The lease cannot be extended again in this term, so this replica steps down and any voter may be elected.
            state.becomeFollower(state.term());
            return;
        }
        boolean targetCaughtUp =
                replicator.matchIndex(transfer.target()) == state.log().lastIndex();
        if (targetCaughtUp
                && transfer.isTimeoutNowDue(state.nowNanos(), state.settings().heartbeatNanos())) {
            transfer.onTimeoutNowSent(state.nowNanos());
            state.send(new Message.TimeoutNow(state.self(), transfer.target(), state.term()));
        }
    }

    void onHeartbeatResponse(Message.HeartbeatResponse answer) {
        if (recordAck(answer.from(), answer.sentNanos())) {
            replicator.onHeartbeatResponse(answer.from(), answer.sentNanos());
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

    /** Records the contact and extends the lease. Returns whether the answer is from a member. */
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
     * Commits the entries that a majority has synced. Only an entry of the current term is committed by counting
     * replicas; entries of earlier terms are committed together with it (Raft paper, section 5.4.2).
     */
    void commit() {
        RaftLog log = state.log();
        long quorumIndex = Quorum.highestReached(log.membership(), replicator::matchIndex);
        if (quorumIndex <= log.committedIndex() || log.termAt(quorumIndex) != state.term()) {
            return;
        }
        for (long i = log.committedIndex() + 1; i <= quorumIndex; i++) {
            uncommittedBytes -= log.entryAt(i).sizeBytes();
        }
        log.commitTo(quorumIndex);
        boolean removedFromVoters = !state.isVoter() && log.committedIndex() >= log.membershipIndex();
        if (removedFromVoters) {
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

    /** Nanoseconds since the last contact of a member, or since the election if that is later. */
    long nanosSinceContact(ReplicaId id) {
        return state.nowNanos() - Math.max(replicator.lastContactNanos(id), electedAtNanos);
    }
}
