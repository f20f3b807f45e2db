package org.elmline.core.raft;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One replica of the log. Each input carries the monotonic time in nanoseconds. After each input, {@link #ready}
 * returns what to write, send and apply, until {@link #hasReady} returns false. Not thread-safe.
 *
 * <p>The time must be read after the message that it comes with was received. With an earlier reading this replica
 * could vote before a lease that it has acknowledged has ended.
 */
public final class RaftNode {
    /** Result of {@link #leaseUntilNanos} without a lease; earlier than any time. */
    public static final long NO_LEASE = Long.MIN_VALUE;

    private final NodeState state;
    private final Elector elector;
    private final Follower follower;
    private Leader leader;
    private long lastReadNumber;
    private boolean readyPending;

    public RaftNode(
            ReplicaId self, RaftSettings settings, RestoredState restored, RandomGenerator random, long nowNanos) {
        this.state = new NodeState(self, settings, restored, nowNanos);
        this.elector = new Elector(state, random);
        this.follower = new Follower(state);
    }

    /** Processes timeouts; to be called several times per heartbeat interval. */
    public void tick(long nowNanos) {
        beginInput(nowNanos);
        if (leader != null) {
            leader.tick();
        } else if (elector.tick()) {
            becomeLeader();
        }
        endInput();
    }

    /** Processes a message. A message for another incarnation of this host's data folder is dropped. */
    public void step(long nowNanos, Message message) {
        beginInput(nowNanos);
        if (message.to().equals(state.self())) {
            dispatch(message);
        }
        endInput();
    }

    private void dispatch(Message message) {
        if (message instanceof Message.PreVoteRequest request) {
            elector.onPreVoteRequest(request);
        } else if (message instanceof Message.VoteRequest request) {
            elector.onVoteRequest(request);
        } else if (message instanceof Message.PreVoteResponse response && response.granted()) {
            if (elector.onPreVoteResponse(response)) {
                becomeLeader();
            }
        } else if (message.term() < state.term()) {
            rejectStale(message);
        } else {
            if (message.term() > state.term()) {
                state.becomeFollower(message.term());
                endInput();
            }
            dispatchCurrentTerm(message);
        }
    }

    private void dispatchCurrentTerm(Message message) {
        if (message.fromLeader()) {
            state.onLeaderContact(message.from());
            elector.onLeaderKnown();
            dispatchFromLeader(message);
        } else if (message instanceof Message.VoteResponse response) {
            if (elector.onVoteResponse(response)) {
                becomeLeader();
            }
        } else if (message instanceof Message.TimeoutNow) {
            if (elector.onTimeoutNow()) {
                becomeLeader();
            }
        } else if (leader != null) {
            dispatchToLeader(message);
        }
    }

    private void dispatchFromLeader(Message message) {
        if (message instanceof Message.AppendRequest request) {
            follower.onAppendRequest(request);
        } else if (message instanceof Message.Heartbeat heartbeat) {
            follower.onHeartbeat(heartbeat);
        } else if (message instanceof Message.SnapshotChunk chunk) {
            follower.onSnapshotChunk(chunk);
        }
    }

    private void dispatchToLeader(Message message) {
        if (message instanceof Message.AppendResponse response) {
            leader.onAppendResponse(response);
        } else if (message instanceof Message.HeartbeatResponse response) {
            leader.onHeartbeatResponse(response);
        } else if (message instanceof Message.SnapshotResponse response) {
            leader.onSnapshotResponse(response);
        }
    }

    /** Sends the newer term to a deposed leader, so that it steps down at once. */
    private void rejectStale(Message message) {
        if (message.fromLeader()) {
            state.send(new Message.HeartbeatResponse(state.self(), message.from(), state.term(), 0));
        }
    }

    private void becomeLeader() {
        state.becomeLeader();
        elector.onLeaderKnown();
        leader = new Leader(state);
    }

    /** Appends commands as one batch, either all of them or none. */
    public ProposeOutcome propose(long nowNanos, List<byte[]> commands) {
        beginInput(nowNanos);
        ProposeOutcome outcome = isLeader() ? leader.propose(commands) : new ProposeOutcome.NotLeader(state.leader());
        endInput();
        return outcome;
    }

    /** Starts a change of membership. */
    public ProposeOutcome propose(long nowNanos, MembershipChange change) {
        beginInput(nowNanos);
        ProposeOutcome outcome = isLeader() ? leader.propose(change) : new ProposeOutcome.NotLeader(state.leader());
        endInput();
        return outcome;
    }

    /**
     * Requests a read of the latest committed state. Once a quorum has confirmed the leader, {@link
     * Ready#confirmedReads()} contains the read with the index that must be applied before it is answered.
     */
    public ReadOutcome readIndex(long nowNanos) {
        beginInput(nowNanos);
        ReadOutcome outcome =
                isLeader() ? leader.readIndex(++lastReadNumber) : new ReadOutcome.NotLeader(state.leader());
        endInput();
        return outcome;
    }

    /** Starts a transfer of leadership to a voter. Returns whether the transfer has started. */
    public boolean transferLeadership(long nowNanos, ReplicaId target) {
        beginInput(nowNanos);
        boolean started = isLeader() && leader.startTransfer(target);
        endInput();
        return started;
    }

    /**
     * Starts a transfer of leadership to the voter with the longest matching log. Returns whether the transfer has
     * started.
     */
    public boolean transferLeadership(long nowNanos) {
        ReplicaId target = isLeader() ? leader.mostUpToDateVoter() : null;
        return target != null && transferLeadership(nowNanos, target);
    }

    public boolean hasReady() {
        RaftLog log = state.log();
        return !state.outbox().isEmpty()
                || state.hasUnsyncedHardState()
                || log.snapshotToInstall() != null
                || log.syncedIndex() < log.lastIndex()
                || log.hasEntriesToApply()
                || (leader != null && leader.readQueue().hasConfirmed());
    }

    /** Returns the work that is due now. {@link #advance} must be called before any other input. */
    public Ready ready() {
        if (readyPending) {
            throw new IllegalStateException("the previous Ready was not passed to advance yet");
        }
        readyPending = true;
        RaftLog log = state.log();
        HardState hardState = state.hasUnsyncedHardState() ? state.hardState() : null;
        // If the leader crashed before its term is synced, it could lead the same term a second time, so nothing is
        // sent early until then.
        boolean canSendBeforeSync = hardState == null && leader != null;
        List<Message> messagesBeforeSync = canSendBeforeSync ? state.outbox().drain(true) : List.of();
        return new Ready(
                hardState,
                log.snapshotToInstall(),
                log.unsyncedEntries(),
                messagesBeforeSync,
                state.outbox().drainAll(),
                log.entriesToApply(),
                leader == null ? List.of() : leader.readQueue().drainConfirmed());
    }

    /** Reports that everything in the last {@link Ready} is synced, sent and applied. */
    public void advance(long nowNanos, Ready done) {
        readyPending = false;
        beginInput(nowNanos);
        if (done.hardState() != null) {
            state.markHardStateSynced(done.hardState());
        }
        state.log().advance(done);
        if (leader != null) {
            leader.commit();
        }
        endInput();
    }

    /**
     * Replaces the log up to {@code index} by a snapshot.
     *
     * @param appliedState the state machine after the entry at {@code index}
     * @return the snapshot, which the caller must write
     */
    public Snapshot compact(long index, byte[] appliedState) {
        RaftSettings settings = state.settings();
        return state.log().compact(index, appliedState, settings.retainedEntries(), settings.maxInflightBytes());
    }

    private void beginInput(long nowNanos) {
        if (readyPending) {
            throw new IllegalStateException("the previous Ready was not passed to advance yet");
        }
        state.advanceTime(nowNanos);
    }

    private void endInput() {
        if (leader != null && state.role() != Role.LEADER) {
            leader = null;
            elector.restartTimeout();
        }
    }

    /**
     * Until when no other replica can be elected, in nanoseconds of this replica's clock; {@link #NO_LEASE} without a
     * lease. Callers compare it with the clock immediately before they act. {@link Lease} explains why this holds.
     */
    public long leaseUntilNanos() {
        return leader == null ? NO_LEASE : leader.leaseUntilNanos();
    }

    public boolean isLeader() {
        return leader != null;
    }

    /** The leader of the term, null when unknown. */
    public ReplicaId leader() {
        return state.leader();
    }

    /**
     * Whether a replica holds all committed entries, according to this leader; false if this replica is not the leader.
     */
    public boolean isCaughtUp(ReplicaId id) {
        return leader != null && leader.isCaughtUp(id);
    }

    /**
     * Nanoseconds since the last contact of a member, according to this leader; 0 if this replica is not the leader.
     */
    public long nanosSinceContact(ReplicaId id) {
        return leader == null ? 0 : leader.nanosSinceContact(id);
    }

    public ReplicaId self() {
        return state.self();
    }

    public Role role() {
        return state.role();
    }

    public long term() {
        return state.term();
    }

    public Membership membership() {
        return state.log().membership();
    }

    /**
     * Whether this replica has applied an entry of the current leader's term, and with it all that was committed before
     * that leader was elected.
     */
    public boolean isCurrent() {
        return state.leader() != null && state.log().termAt(state.log().appliedIndex()) == state.term();
    }

    public long committedIndex() {
        return state.log().committedIndex();
    }

    public long appliedIndex() {
        return state.log().appliedIndex();
    }

    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** Number of entries held in memory. */
    public long retainedEntries() {
        return state.log().lastIndex() - state.log().firstIndex() + 1;
    }

    /** The newest snapshot, null when there is none. */
    public Snapshot snapshot() {
        return state.log().snapshot();
    }
}
