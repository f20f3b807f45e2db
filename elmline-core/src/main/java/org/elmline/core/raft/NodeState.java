package org.elmline.core.raft;

/** What all parts of one replica share: term, vote, role, the time of the present input, the log and the outbox. */
final class NodeState {
    private final ReplicaId self;
    private final RaftSettings settings;
    private final RaftLog log;
    private final Outbox outbox = new Outbox();
    private long term;
    private ReplicaId vote;
    private HardState syncedHardState;
    private Role role = Role.FOLLOWER;
    private ReplicaId leader;
    private long nowNanos;
    private long leaderContactNanos;

    NodeState(ReplicaId self, RaftSettings settings, RestoredState restored, long nowNanos) {
        this.self = self;
        this.settings = settings;
        this.log = new RaftLog(restored);
        this.term = restored.hardState().term();
        this.vote = restored.hardState().vote();
        this.syncedHardState = restored.hardState();
        this.nowNanos = nowNanos;
        // A restarted replica has forgotten that it acknowledged a heartbeat just before, and that the leader's lease
        // rests on it. Counting the start as a contact makes it refuse votes until any such lease has ended.
        this.leaderContactNanos = nowNanos;
    }

    ReplicaId self() {
        return self;
    }

    RaftSettings settings() {
        return settings;
    }

    RaftLog log() {
        return log;
    }

    Outbox outbox() {
        return outbox;
    }

    long term() {
        return term;
    }

    Role role() {
        return role;
    }

    /** The leader of the term, null when none is known. */
    ReplicaId leader() {
        return leader;
    }

    long nowNanos() {
        return nowNanos;
    }

    /** Moves the time on; a time that steps back is not taken. */
    void advanceTime(long nanos) {
        nowNanos = Math.max(nowNanos, nanos);
    }

    boolean isVoter() {
        return log.membership().isVoter(self);
    }

    HardState hardState() {
        return new HardState(term, vote);
    }

    boolean hasUnsyncedHardState() {
        return !hardState().equals(syncedHardState);
    }

    void markHardStateSynced(HardState written) {
        syncedHardState = written;
    }

    /** Whether a leader was heard so lately that its lease may still run. */
    boolean leaderMayHoldLease() {
        return role == Role.LEADER || nowNanos - leaderContactNanos < settings.electionTimeoutNanos();
    }

    /** Notes a sign of life of the term's leader. */
    void onLeaderContact(ReplicaId from) {
        if (role == Role.LEADER) {
            throw new IllegalStateException("two leaders in term " + term + ": " + self + " and " + from);
        }
        role = Role.FOLLOWER;
        leader = from;
        leaderContactNanos = nowNanos;
    }

    void becomeFollower(long newTerm) {
        if (newTerm < term) {
            throw new IllegalStateException("term would step back from " + term + " to " + newTerm);
        }
        if (role == Role.LEADER) {
            // A leader that is deposed by a higher term may have handed out a lease that rests on itself and one more;
            // it is bound by it as much as the followers that acknowledged it.
            leaderContactNanos = nowNanos;
        }
        if (newTerm > term) {
            term = newTerm;
            vote = null;
        }
        role = Role.FOLLOWER;
        leader = null;
    }

    void becomePreCandidate() {
        role = Role.PRE_CANDIDATE;
        leader = null;
    }

    void becomeCandidate() {
        role = Role.CANDIDATE;
        leader = null;
        term++;
        vote = self;
    }

    void becomeLeader() {
        role = Role.LEADER;
        leader = self;
    }

    /** Gives the term's vote if it is not given to another already. */
    boolean voteFor(ReplicaId candidate) {
        if (vote != null && !vote.equals(candidate)) {
            return false;
        }
        vote = candidate;
        return true;
    }

    void send(Message message) {
        outbox.send(message);
    }
}
