package org.elmline.core.raft;

import java.util.random.RandomGenerator;

/**
 * Runs elections as a candidate and answers other candidates. Follows the Raft paper, section 5.2, and the Raft thesis,
 * sections 4.2.3 (no votes while a leader is in contact) and 9.6 (pre-vote).
 */
final class Elector {
    /** Rounds without a leader for which the random part of the election timeout doubles. */
    private static final int MAX_DOUBLINGS = 2;

    /** Further election timeouts that a voter leaves a candidate on busy hosts. */
    private static final int CANDIDATE_TIMEOUTS = 2;

    private final NodeState state;
    private final RandomGenerator random;
    private VoteTally tally;
    private long electionDeadlineNanos;
    private int roundsWithoutLeader;

    Elector(NodeState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
        restartTimeout();
    }

    /**
     * Restarts the election timeout with a random length between one and two election timeouts, so that split votes are
     * rare. After rounds without a leader the random part is longer: candidates that stand at the same time keep hosts so
     * busy that none of them wins. A candidate restarts the timeout with each vote that it receives, as busy hosts answer
     * one after the other, and an election that is abandoned while votes still arrive would be repeated without end.
     */
    void restartTimeout() {
        long timeout = state.settings().electionTimeoutNanos();
        long longest = timeout << Math.min(roundsWithoutLeader, MAX_DOUBLINGS);
        electionDeadlineNanos = state.nowNanos() + timeout + random.nextLong(longest);
    }

    void onLeaderKnown() {
        roundsWithoutLeader = 0;
        restartTimeout();
    }

    /**
     * Starts a pre-vote when the election timeout has expired without contact from a leader. Returns whether the
     * election is won already, as it is with a single voter.
     */
    boolean tick() {
        if (state.role() == Role.LEADER || state.nowNanos() < electionDeadlineNanos) {
            return false;
        }
        // Learners, removed replicas and replicas with an empty data folder never start an election.
        if (!state.isVoter()) {
            restartTimeout();
            state.becomeFollower(state.term());
            return false;
        }
        roundsWithoutLeader++;
        restartTimeout();
        return startPreVote();
    }

    /**
     * Requests pre-votes first, to find out whether an election could be won. A replica that was partitioned away would
     * otherwise raise its term again and again and depose a healthy leader on its return.
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
        restartTimeout();
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

    /**
     * Starts an election at the request of the leader, which transfers leadership to this replica. Returns whether this
     * replica is the leader now.
     */
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
        boolean withdraws =
                granted && state.role() == Role.PRE_CANDIDATE && request.from().compareTo(state.self()) > 0;
        if (withdraws) {
            // Of two simultaneous pre-candidates only the one with the higher id continues; two would split the votes
            // and wait for another election timeout.
            state.becomeFollower(state.term());
            restartTimeout();
        }
        long term = granted ? request.term() : state.term();
        state.send(new Message.PreVoteResponse(state.self(), request.from(), term, granted));
    }

    /** Counts a pre-vote and starts the election once a majority has granted one. Returns whether it is won already. */
    boolean onPreVoteResponse(Message.PreVoteResponse response) {
        boolean isValid =
                response.granted() && state.role() == Role.PRE_CANDIDATE && response.term() == state.term() + 1;
        if (!isValid) {
            return false;
        }
        restartTimeout();
        tally.addVote(response.from());
        return tally.hasMajority() && startElection(false);
    }

    /**
     * Answers a vote request. While a leader was in contact within the shortest election timeout, the request is
     * ignored together with its term, because the leader's lease requires that this quorum elects no other leader. This
     * includes requests of the current term: this replica may have adopted that term from a delayed message after its
     * last contact with the leader of an earlier term. The only exception is a candidate of a leadership transfer,
     * which the leader starts after its lease has ended.
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
            waitForCandidate();
        }
        state.send(new Message.VoteResponse(state.self(), request.from(), state.term(), granted));
    }

    /**
     * Leaves a candidate more time once a round has passed without a leader: on busy hosts its votes take longer than an
     * election timeout, and a voter that stood meanwhile would raise the term and undo its election.
     */
    private void waitForCandidate() {
        if (roundsWithoutLeader > 0) {
            electionDeadlineNanos += CANDIDATE_TIMEOUTS * state.settings().electionTimeoutNanos();
        }
    }

    /** Counts a vote. Returns whether the election is won. */
    boolean onVoteResponse(Message.VoteResponse response) {
        if (state.role() != Role.CANDIDATE || !response.granted()) {
            return false;
        }
        restartTimeout();
        tally.addVote(response.from());
        return tally.hasMajority();
    }
}
