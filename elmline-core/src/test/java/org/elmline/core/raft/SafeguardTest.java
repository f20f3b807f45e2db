package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Orders of events too rare for random schedules, played message by message against replica A of A, B and C. */
class SafeguardTest {
    private static final ReplicaId A = new ReplicaId(HostId.of("a"), 1);
    private static final ReplicaId B = new ReplicaId(HostId.of("b"), 1);
    private static final ReplicaId C = new ReplicaId(HostId.of("c"), 1);
    private static final RaftSettings SETTINGS = RaftSettings.builder().build();
    private static final long T = SETTINGS.electionTimeoutNanos();

    private final Disk disk = new Disk(RestoredState.bootstrap(Membership.ofVoters(List.of(A, B, C))));
    private RaftNode node = start(0);

    private RaftNode start(long now) {
        return new RaftNode(A, SETTINGS, disk.read(), new SplittableRandom(1), now);
    }

    /** Does all that is ready and returns what was sent. */
    private List<Message> work(long now) {
        List<Message> sent = new ArrayList<>();
        while (node.hasReady()) {
            Ready ready = node.ready();
            disk.write(ready);
            sent.addAll(ready.messagesBeforeSync());
            sent.addAll(ready.messagesAfterSync());
            node.advance(now, ready);
        }
        return sent;
    }

    private List<Message> step(long now, Message message) {
        node.step(now, message);
        return work(now);
    }

    private static Message vote(ReplicaId from, long term) {
        return new Message.VoteRequest(from, A, term, 9, term - 1, false);
    }

    /** A leads term 2 from now on; B has answered its first heartbeat. */
    private void lead(long now) {
        node.tick(now);
        work(now);
        step(now, new Message.PreVoteResponse(B, A, 2, true));
        step(now, new Message.VoteResponse(B, A, 2, true));
        step(now, new Message.AppendResponse(B, A, 2, true, 1, 2, now));
        assertTrue(node.isLeader());
    }

    /**
     * A votes for B and crashes; C asks for the vote of the same term. A forgotten vote would elect two leaders, and
     * callers would see two histories.
     */
    @Test
    void aVoteOutlivesARestart() {
        assertTrue(((Message.VoteResponse) step(2 * T, vote(B, 5)).get(0)).granted());
        node = start(3 * T);
        assertFalse(((Message.VoteResponse) step(5 * T, vote(C, 5)).get(0)).granted());
    }

    /** A acknowledges B's heartbeat, restarts and is asked by C at once, while B's lease still rests on A. */
    @Test
    void aRestartedVoterRefusesUntilALeaseMustHaveEnded() {
        step(2 * T, new Message.Heartbeat(B, A, 3, 0, 1));
        node = start(2 * T + T / 4);
        assertEquals(List.of(), step(2 * T + T / 2, vote(C, 4)));
        assertEquals(1, step(4 * T, vote(C, 4)).size());
    }

    /** A's lease rests on A and B; C's late answer of a higher term deposes A, and C asks A for its vote at once. */
    @Test
    void aDeposedLeaderKeepsToItsOwnLease() {
        lead(3 * T);
        assertTrue(node.leaseUntilNanos() > 3 * T);
        step(3 * T + 1, new Message.HeartbeatResponse(C, A, 7, 0));
        assertFalse(node.isLeader());
        assertEquals(List.of(), step(3 * T + 2, vote(C, 8)));
    }

    /** A hears the leader B, then learns C's term from a late answer; C's request is of the present term now. */
    @Test
    void aTermLearntLateDoesNotOpenTheLease() {
        step(2 * T, new Message.Heartbeat(B, A, 3, 0, 1));
        step(2 * T + 1, new Message.PreVoteResponse(C, A, 6, false));
        assertEquals(6, node.term());
        assertEquals(List.of(), step(2 * T + 2, vote(C, 6)));
    }

    /** B answers the entry of an earlier term only; committed by count, a leader without it could still be elected. */
    @Test
    void anEntryOfAnEarlierTermIsNotCommittedByCount() {
        node.tick(3 * T);
        work(3 * T);
        step(3 * T, new Message.PreVoteResponse(B, A, 2, true));
        step(3 * T, new Message.VoteResponse(B, A, 2, true));
        step(3 * T, new Message.AppendResponse(B, A, 2, true, 0, 1, 3 * T));
        assertEquals(0, node.committedIndex());
        assertEquals(RaftNode.NO_LEASE, node.leaseUntilNanos());
        step(3 * T, new Message.AppendResponse(B, A, 2, true, 1, 2, 3 * T));
        assertEquals(2, node.committedIndex());
    }

    /** Clocks differ in speed: the lease counts from the sending and ends a tenth before the timeout. */
    @Test
    void theLeaseCountsFromTheSendingLessTheMargin() {
        lead(3 * T);
        step(3 * T + T / 2, new Message.HeartbeatResponse(B, A, 2, 3 * T + T / 4));
        assertEquals(3 * T + T / 4 + T / 10 * 9, node.leaseUntilNanos());
    }

    /** A lone voter that crashes before its term is synced would lead that term twice if its requests had left. */
    @Test
    void nothingOfANewTermLeavesBeforeTheTermIsSynced() {
        Membership one = new Membership(List.of(A), List.of(B));
        node = new RaftNode(A, SETTINGS, RestoredState.bootstrap(one), new SplittableRandom(1), 0);
        node.tick(3 * T);
        Ready first = node.ready();
        assertTrue(node.isLeader());
        assertEquals(List.of(), first.messagesBeforeSync());
        assertFalse(first.messagesAfterSync().isEmpty());
    }

    /** Removed before the newcomer holds the log, the old voter would leave a majority of one less for longer. */
    @Test
    void aNewcomerCatchesUpBeforeTheLostOneGoes() {
        ReplicaId fresh = new ReplicaId(C.host(), 2);
        Membership now = Membership.ofVoters(List.of(A, B, C));
        List<MembershipChange> done = new ArrayList<>();
        assertTrue(JoinPlanner.nextChange(now.with(fresh, false), fresh, false).isEmpty());
        for (var next = JoinPlanner.nextChange(now, fresh, true);
                next.isPresent();
                next = JoinPlanner.nextChange(now, fresh, true)) {
            done.add(next.get());
            now = next.get().applyTo(now);
        }
        List<MembershipChange> expected = List.of(
                new MembershipChange.AddLearner(fresh),
                new MembershipChange.Remove(C),
                new MembershipChange.Promote(fresh));
        assertEquals(expected, done);
    }
}
