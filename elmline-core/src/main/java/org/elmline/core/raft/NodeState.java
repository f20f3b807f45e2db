package org.elmline.core.raft;

/** State shared by all parts of one replica: term, vote, role, time of the current input, log and outbox. */
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
        // After a restart a replica no longer has the time of its last contact with the leader, though the leader's
        // lease may depend on a heartbeat acknowledged just before. Treating the start as a contact makes the replica
        // refuse votes until any such lease has ended.
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

    /** The leader of the term, null when unknown. */
    ReplicaId leader() {
        return leader;
    }

    long nowNanos() {
        return nowNanos;
    }

    /** Sets the current time; an earlier time than the last is ignored. */
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

    /** Whether the last contact with a leader is so recent that its lease may still run. */
    boolean leaderMayHoldLease() {
        return role == Role.LEADER || nowNanos - leaderContactNanos < settings.electionTimeoutNanos();
    }

    /** Records a contact from the leader of the term. */
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
            throw new IllegalStateException("term must not decrease from " + term + " to " + newTerm);
        }
        if (role == Role.LEADER) {
            // A leader deposed by a higher term may hold a lease that depends on itself and one other voter. It must
            // refuse votes until that lease has ended, as the followers that acknowledged it do.
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

    /** Gives the vote of the term to a candidate. Returns false if it was given to another candidate. */
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
