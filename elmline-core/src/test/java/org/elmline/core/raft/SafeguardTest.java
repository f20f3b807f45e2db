package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Event sequences too rare for random schedules, run message by message against replica A of the voters A, B and C.
 */
class SafeguardTest {
    private static final ReplicaId A = new ReplicaId(HostId.of("a"), 1);
    private static final ReplicaId B = new ReplicaId(HostId.of("b"), 1);
    private static final ReplicaId C = new ReplicaId(HostId.of("c"), 1);
    private static final RaftSettings SETTINGS = RaftSettings.builder().build();
    private static final long TIMEOUT_NANOS = SETTINGS.electionTimeoutNanos();

    private final Disk disk = new Disk(RestoredState.bootstrap(Membership.ofVoters(List.of(A, B, C))));
    private RaftNode node = start(0);

    private RaftNode start(long now) {
        return new RaftNode(A, SETTINGS, disk.read(), new SplittableRandom(1), now);
    }

    /** Processes everything that is ready and returns the messages sent. */
    private List<Message> processReady(long now) {
        return disk.process(node, now);
    }

    private List<Message> step(long now, Message message) {
        node.step(now, message);
        return processReady(now);
    }

    private static Message voteRequest(ReplicaId from, long term) {
        return new Message.VoteRequest(from, A, term, 9, term - 1, false);
    }

    /** Makes A the leader of term 2, with its first entry acknowledged by B. */
    private void becomeLeader(long now) {
        node.tick(now);
        processReady(now);
        step(now, new Message.PreVoteResponse(B, A, 2, true));
        step(now, new Message.VoteResponse(B, A, 2, true));
        step(now, new Message.AppendResponse(B, A, 2, true, 1, 2, now));
        assertTrue(node.isLeader());
    }

    /**
     * A votes for B and crashes, then C requests the vote of the same term. If the vote were lost, two leaders could be
     * elected in one term, and callers would see two histories.
     */
    @Test
    void votePersistsAcrossRestart() {
        assertTrue(((Message.VoteResponse)
                        step(2 * TIMEOUT_NANOS, voteRequest(B, 5)).get(0))
                .granted());
        node = start(3 * TIMEOUT_NANOS);
        assertFalse(((Message.VoteResponse)
                        step(5 * TIMEOUT_NANOS, voteRequest(C, 5)).get(0))
                .granted());
    }

    /**
     * A acknowledges B's heartbeat and restarts, and C requests its vote at once, while B's lease still depends on A.
     */
    @Test
    void restartedVoterIgnoresVoteRequestsUntilAnyLeaseHasEnded() {
        step(2 * TIMEOUT_NANOS, new Message.Heartbeat(B, A, 3, 0, 1));
        node = start(2 * TIMEOUT_NANOS + TIMEOUT_NANOS / 4);
        assertEquals(List.of(), step(2 * TIMEOUT_NANOS + TIMEOUT_NANOS / 2, voteRequest(C, 4)));
        assertEquals(1, step(4 * TIMEOUT_NANOS, voteRequest(C, 4)).size());
    }

    /**
     * A's lease depends on A and B. C's delayed answer with a higher term deposes A, and C requests A's vote at once.
     */
    @Test
    void deposedLeaderIgnoresVoteRequestsDuringItsOwnLease() {
        becomeLeader(3 * TIMEOUT_NANOS);
        assertTrue(node.leaseUntilNanos() > 3 * TIMEOUT_NANOS);
        step(3 * TIMEOUT_NANOS + 1, new Message.HeartbeatResponse(C, A, 7, 0));
        assertFalse(node.isLeader());
        assertEquals(List.of(), step(3 * TIMEOUT_NANOS + 2, voteRequest(C, 8)));
    }

    /**
     * A receives a heartbeat from leader B, then adopts C's higher term from a delayed answer. C's vote request is of
     * the current term now, but B's lease still runs.
     */
    @Test
    void ignoresVoteRequestDuringLeaseDespiteLaterTerm() {
        step(2 * TIMEOUT_NANOS, new Message.Heartbeat(B, A, 3, 0, 1));
        step(2 * TIMEOUT_NANOS + 1, new Message.PreVoteResponse(C, A, 6, false));
        assertEquals(6, node.term());
        assertEquals(List.of(), step(2 * TIMEOUT_NANOS + 2, voteRequest(C, 6)));
    }

    /**
     * B acknowledges only the entry of an earlier term. If that entry were committed by counting replicas, a leader
     * without it could still be elected.
     */
    @Test
    void entryOfEarlierTermIsNotCommittedByCount() {
        node.tick(3 * TIMEOUT_NANOS);
        processReady(3 * TIMEOUT_NANOS);
        step(3 * TIMEOUT_NANOS, new Message.PreVoteResponse(B, A, 2, true));
        step(3 * TIMEOUT_NANOS, new Message.VoteResponse(B, A, 2, true));
        step(3 * TIMEOUT_NANOS, new Message.AppendResponse(B, A, 2, true, 0, 1, 3 * TIMEOUT_NANOS));
        assertEquals(0, node.committedIndex());
        assertEquals(RaftNode.NO_LEASE, node.leaseUntilNanos());
        step(3 * TIMEOUT_NANOS, new Message.AppendResponse(B, A, 2, true, 1, 2, 3 * TIMEOUT_NANOS));
        assertEquals(2, node.committedIndex());
    }

    /**
     * Clocks run at different speeds: the lease is measured from the send time and is a tenth shorter than the election
     * timeout.
     */
    @Test
    void leaseCountsFromSendTimeLessMargin() {
        becomeLeader(3 * TIMEOUT_NANOS);
        step(
                3 * TIMEOUT_NANOS + TIMEOUT_NANOS / 2,
                new Message.HeartbeatResponse(B, A, 2, 3 * TIMEOUT_NANOS + TIMEOUT_NANOS / 4));
        assertEquals(3 * TIMEOUT_NANOS + TIMEOUT_NANOS / 4 + TIMEOUT_NANOS / 10 * 9, node.leaseUntilNanos());
    }

    /**
     * A single voter that crashes before its term is synced could lead that term a second time if its requests had been
     * sent.
     */
    @Test
    void sendsNothingOfNewTermBeforeTermIsSynced() {
        Membership one = new Membership(List.of(A), List.of(B));
        node = new RaftNode(A, SETTINGS, RestoredState.bootstrap(one), new SplittableRandom(1), 0);
        node.tick(3 * TIMEOUT_NANOS);
        Ready first = node.ready();
        assertTrue(node.isLeader());
        assertEquals(List.of(), first.messagesBeforeSync());
        assertFalse(first.messagesAfterSync().isEmpty());
    }

    /**
     * If the lost voter were removed before the new replica holds the log, the cluster would have one voter fewer for
     * longer.
     */
    @Test
    void newReplicaCatchesUpBeforeLostVoterIsRemoved() {
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
