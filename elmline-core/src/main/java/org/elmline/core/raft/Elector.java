package org.elmline.core.raft;

import java.util.random.RandomGenerator;

/**
 * Stands for election and answers those who do. Rests on the Raft paper, section 5.2, and the thesis, sections 4.2.3
 * (no votes while a leader is heard) and 9.6 (pre-vote).
 */
final class Elector {
    private final NodeState state;
    private final RandomGenerator random;
    private VoteTally tally;
    private long electionDeadlineNanos;

    Elector(NodeState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
        restartTimeout();
    }

    /** Puts the next standing off by a random time between one and two election timeouts, so that votes rarely split. */
    void restartTimeout() {
        long timeout = state.settings().electionTimeoutNanos();
        electionDeadlineNanos = state.nowNanos() + timeout + random.nextLong(timeout);
    }

    /** Stands when no leader was heard for long. Returns whether the election is won already, as with one voter. */
    boolean tick() {
        if (state.role() == Role.LEADER || state.nowNanos() < electionDeadlineNanos) {
            return false;
        }
        restartTimeout();
        // A learner, a removed replica and a fresh data folder never stand.
        if (!state.isVoter()) {
            return false;
        }
        return startPreVote();
    }

    /**
     * Asks first whether the election could be won. A replica that was cut off would otherwise raise its term again and
     * again and depose a healthy leader when it comes back.
     */
    private boolean startPreVote() {
        state.becomePreCandidate();
        tally = new VoteTally(state.log().membership());
        tally.addVote(state.self());
        if (tally.hasMajority()) {
            return startElection(false);
        }
        RaftLog log = state.log();
        for (ReplicaId each : log.membership().voters()) {
            if (!each.equals(state.self())) {
                state.send(new Message.PreVoteRequest(
                        state.self(), each, state.term() + 1, log.lastIndex(), log.lastTerm()));
            }
        }
        return false;
    }

    private boolean startElection(boolean transfer) {
        state.becomeCandidate();
        tally = new VoteTally(state.log().membership());
        tally.addVote(state.self());
        RaftLog log = state.log();
        for (ReplicaId each : log.membership().voters()) {
            if (!each.equals(state.self())) {
                state.send(new Message.VoteRequest(
                        state.self(), each, state.term(), log.lastIndex(), log.lastTerm(), transfer));
            }
        }
        return tally.hasMajority();
    }

    /** The leader hands over to this replica. Returns whether it leads now. */
    boolean onTimeoutNow() {
        if (!state.isVoter() || state.role() == Role.LEADER) {
            return false;
        }
        restartTimeout();
        return startElection(true);
    }

    void onPreVoteRequest(Message.PreVoteRequest request) {
        if (state.leaderMayHoldLease()) {
            return;
        }
        boolean granted = request.term() > state.term()
                && state.log().isCandidateUpToDate(request.lastIndex(), request.lastTerm());
        boolean yields =
                granted && state.role() == Role.PRE_CANDIDATE && request.from().compareTo(state.self()) > 0;
        if (yields) {
            // Of two that ask at the same moment only one goes on; both would split the votes and wait out a timeout.
            state.becomeFollower(state.term());
            restartTimeout();
        }
        long term = granted ? request.term() : state.term();
        state.send(new Message.PreVoteResponse(state.self(), request.from(), term, granted));
    }

    /** Returns whether this replica may stand for real and has won at once. */
    boolean onPreVoteResponse(Message.PreVoteResponse response) {
        boolean counts =
                response.granted() && state.role() == Role.PRE_CANDIDATE && response.term() == state.term() + 1;
        if (!counts) {
            return false;
        }
        tally.addVote(response.from());
        return tally.hasMajority() && startElection(false);
    }

    /**
     * Answers a candidate. While a leader was heard within the shortest election timeout the request is passed over,
     * its term too: the leader's lease rests on this quorum not electing another. That goes for a request of the present
     * term as well, which this replica may have learnt from a late message since it heard the leader of an earlier one.
     * Only a candidate whom the leader told to stand, after its lease had ended, is let through.
     */
    void onVoteRequest(Message.VoteRequest request) {
        if (!request.transfer() && state.leaderMayHoldLease()) {
            return;
        }
        if (request.term() > state.term()) {
            state.becomeFollower(request.term());
        }
        boolean granted = request.term() == state.term()
                && state.role() == Role.FOLLOWER
                && state.log().isCandidateUpToDate(request.lastIndex(), request.lastTerm())
                && state.voteFor(request.from());
        if (granted) {
            restartTimeout();
        }
        state.send(new Message.VoteResponse(state.self(), request.from(), state.term(), granted));
    }

    /** Returns whether this vote has won the election. */
    boolean onVoteResponse(Message.VoteResponse response) {
        if (state.role() != Role.CANDIDATE || !response.granted()) {
            return false;
        }
        tally.addVote(response.from());
        return tally.hasMajority();
    }
}
