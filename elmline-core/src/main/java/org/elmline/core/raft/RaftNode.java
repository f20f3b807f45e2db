package org.elmline.core.raft;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One replica of the log. Every input carries the monotonic time; after any input, {@link #ready} says what to write,
 * send and apply, until {@link #hasReady} is false. Not safe for use by several threads.
 *
 * <p>The time must be read after the message it comes with was received: an earlier reading would let this replica vote
 * before a lease that it has acknowledged has ended.
 */
public final class RaftNode {
    /** What {@link #leaseUntilNanos} returns without a lease; earlier than any time. */
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

    /** Lets time pass; to be called several times a heartbeat. */
    public void tick(long nowNanos) {
        beginInput(nowNanos);
        if (leader != null) {
            leader.tick();
        } else if (elector.tick()) {
            becomeLeader();
        }
        endInput();
    }

    /** Takes a message. One for another incarnation of this host's data folder is dropped. */
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
            elector.restartTimeout();
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

    /** Tells a deposed leader the newer term, so that it stops at once. */
    private void rejectStale(Message message) {
        if (message.fromLeader()) {
            state.send(new Message.HeartbeatResponse(state.self(), message.from(), state.term(), 0));
        }
    }

    private void becomeLeader() {
        state.becomeLeader();
        leader = new Leader(state);
    }

    /** Appends commands in one batch, all or none. */
    public ProposeOutcome propose(long nowNanos, List<byte[]> commands) {
        beginInput(nowNanos);
        ProposeOutcome outcome = isLeader() ? leader.propose(commands) : new ProposeOutcome.NotLeader(state.leader());
        endInput();
        return outcome;
    }

    /** Starts one change of membership. */
    public ProposeOutcome propose(long nowNanos, MembershipChange change) {
        beginInput(nowNanos);
        ProposeOutcome outcome = isLeader() ? leader.propose(change) : new ProposeOutcome.NotLeader(state.leader());
        endInput();
        return outcome;
    }

    /** Asks for a position from which the latest committed state can be read. */
    public ReadOutcome readIndex(long nowNanos) {
        beginInput(nowNanos);
        ReadOutcome outcome =
                isLeader() ? leader.readIndex(++lastReadNumber) : new ReadOutcome.NotLeader(state.leader());
        endInput();
        return outcome;
    }

    /** Starts to hand leadership to a voter. Returns whether that is possible. */
    public boolean transferLeadership(long nowNanos, ReplicaId target) {
        beginInput(nowNanos);
        boolean started = isLeader() && leader.startTransfer(target);
        endInput();
        return started;
    }

    /** Starts to hand leadership to the voter that holds most of the log. */
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

    /** What is to be done now. {@link #advance} must follow before any other input. */
    public Ready ready() {
        if (readyPending) {
            throw new IllegalStateException("the last ready is not done");
        }
        readyPending = true;
        RaftLog log = state.log();
        HardState hardState = state.hasUnsyncedHardState() ? state.hardState() : null;
        // A leader whose own term is not synced yet could lead the same term twice if it crashed now.
        boolean early = hardState == null && leader != null;
        List<Message> before = early ? state.outbox().drain(true) : List.of();
        return new Ready(
                hardState,
                log.snapshotToInstall(),
                log.unsyncedEntries(),
                before,
                state.outbox().drainAll(),
                log.entriesToApply(),
                leader == null ? List.of() : leader.readQueue().drainConfirmed());
    }

    /** Everything of the last ready is synced, sent and applied. */
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

    /** Puts the applied state in place of the log up to {@code index}. Returns the snapshot to be written. */
    public Snapshot compact(long index, byte[] appliedState) {
        RaftSettings bounds = state.settings();
        return state.log().compact(index, appliedState, bounds.retainedEntries(), bounds.maxInflightBytes());
    }

    private void beginInput(long nowNanos) {
        if (readyPending) {
            throw new IllegalStateException("the last ready is not done");
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
     * Until when no other replica can be elected, on this replica's clock; {@link #NO_LEASE} without a lease. A caller
     * compares it with the clock just before it acts. {@link Lease} states why.
     */
    public long leaseUntilNanos() {
        return leader == null ? NO_LEASE : leader.leaseUntilNanos();
    }

    public boolean isLeader() {
        return leader != null;
    }

    /** The leader of the term, null when none is known. */
    public ReplicaId leader() {
        return state.leader();
    }

    /** Whether a replica holds all that is committed, as far as this leader knows. */
    public boolean isCaughtUp(ReplicaId id) {
        return leader != null && leader.isCaughtUp(id);
    }

    /** Nanoseconds without a sign of life of a member, as far as this leader knows; 0 where another leads. */
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

    public long committedIndex() {
        return state.log().committedIndex();
    }

    public long appliedIndex() {
        return state.log().appliedIndex();
    }

    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** Entries held in memory. */
    public long retainedEntries() {
        return state.log().lastIndex() - state.log().firstIndex() + 1;
    }

    /** The newest snapshot, null when there is none. */
    public Snapshot snapshot() {
        return state.log().snapshot();
    }
}
