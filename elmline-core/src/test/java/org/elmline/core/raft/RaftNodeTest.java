package org.elmline.core.raft;

import java.util.List;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Each test simulates one failure in a cluster and checks its safeguard. */
class RaftNodeTest {
    private static final long TIMEOUT_NANOS = SimCluster.TIMEOUT_NANOS;

    /**
     * A host is isolated for long and returns. If its failed elections had raised its term, the first message after its
     * return would depose the leader, and callers would wait for a needless election.
     */
    @Test
    void aReturningReplicaDoesNotDeposeTheLeader() {
        SimCluster cluster = new SimCluster(3, 1);
        SimHost leader = cluster.awaitLeader();
        long term = leader.node.term();
        int other = (cluster.hosts.indexOf(leader) + 1) % 3;
        cluster.isolate(other);
        cluster.run(20 * TIMEOUT_NANOS);
        cluster.heal();
        cluster.run(5 * TIMEOUT_NANOS);
        assertEquals(term, cluster.leader().node.term());
        assertTrue(leader.node.isLeader());
    }

    /**
     * The leader receives no messages, while its own still reach the others, which therefore elect no other leader. It
     * must step down by itself, or callers would wait for a leader that can commit nothing.
     */
    @Test
    void leaderThatReceivesNothingStepsDown() {
        SimCluster cluster = new SimCluster(3, 2);
        SimHost leader = cluster.awaitLeader();
        cluster.run(2 * TIMEOUT_NANOS);
        int leaderIndex = cluster.hosts.indexOf(leader);
        cluster.cutLink((leaderIndex + 1) % 3, leaderIndex);
        cluster.cutLink((leaderIndex + 2) % 3, leaderIndex);
        cluster.run(4 * TIMEOUT_NANOS);
        assertFalse(leader.node.isLeader());
        assertTrue(cluster.awaitLeader() != leader);
    }

    /**
     * The leader's process is suspended, another leader is elected, and the process resumes. Until it handles its first
     * message it still has the role of leader; its lease must have ended by its own clock before the other was elected.
     */
    @Test
    void suspendedLeaderResumesWithoutLease() {
        SimCluster cluster = new SimCluster(3, 3);
        SimHost frozen = cluster.awaitLeader();
        cluster.run(2 * TIMEOUT_NANOS);
        assertTrue(frozen.node.leaseUntilNanos() > frozen.clock());
        frozen.frozen = true;
        cluster.run(5 * TIMEOUT_NANOS);
        assertTrue(cluster.leader() != frozen);
        assertTrue(frozen.node.isLeader());
        assertTrue(frozen.node.leaseUntilNanos() <= frozen.clock());
        assertInstanceOf(ReadOutcome.AwaitingQuorum.class, frozen.node.readIndex(frozen.clock()));
        frozen.frozen = false;
        cluster.run(2 * TIMEOUT_NANOS);
        assertFalse(frozen.node.isLeader());
    }

    /**
     * A planned stop transfers leadership: proposals are accepted until the lease has ended, and the target becomes
     * leader without waiting for an election timeout. A target that started its election at once would lead while the
     * old lease still runs.
     */
    @Test
    void transfersLeadershipAfterLeaseEnds() {
        SimCluster cluster = new SimCluster(3, 4);
        SimHost old = cluster.awaitLeader();
        cluster.run(2 * TIMEOUT_NANOS);
        long lease = old.node.leaseUntilNanos();
        assertTrue(old.node.transferLeadership(old.clock()));
        old.processReady();
        assertInstanceOf(ProposeOutcome.Appended.class, old.node.propose(old.clock(), List.of(new byte[] {1})));
        old.processReady();
        while (old.node.isLeader()) {
            assertEquals(lease, old.node.leaseUntilNanos());
            cluster.run(TIMEOUT_NANOS / 20);
        }
        assertTrue(old.clock() >= lease);
        assertTrue(old.clock() < lease + TIMEOUT_NANOS, "sooner than by an election");
        assertTrue(cluster.awaitLeader() != old);
    }

    /**
     * A replica misses hundreds of entries, which are compacted meanwhile. It catches up by a snapshot in many chunks
     * while messages are lost.
     */
    @Test
    void laggingReplicaCatchesUpBySnapshot() {
        RaftSettings.Builder bounds =
                RaftSettings.builder().snapshotChunkBytes(10).retainedEntries(5);
        SimCluster cluster = new SimCluster(3, 5, bounds);
        SimHost leader = cluster.awaitLeader();
        SimHost lagging = cluster.hosts.get((cluster.hosts.indexOf(leader) + 1) % 3);
        lagging.crash();
        for (int i = 0; i < 500; i++) {
            cluster.propose();
            cluster.run(TIMEOUT_NANOS / 20);
        }
        cluster.run(TIMEOUT_NANOS);
        cluster.leader().compact();
        lagging.start();
        cluster.lossPercent = 20;
        cluster.run(10 * TIMEOUT_NANOS);
        assertEquals(cluster.committedIndex(), lagging.appliedIndex);
        assertEquals(leader.node.snapshot().index(), lagging.node.snapshot().index());
    }

    /**
     * A host loses its disk and is replaced; immediately after that a second host loses its disk as well. No committed
     * entry may be lost, and the cluster must commit again.
     */
    @Test
    void survivesSecondDiskLossRightAfterFirstReplacement() {
        SimCluster cluster = new SimCluster(3, 6);
        cluster.awaitLeader();
        cluster.propose();
        cluster.hosts.get(0).loseDisk();
        while (!cluster.committedMembership().isVoter(cluster.hosts.get(0).id)) {
            cluster.run(TIMEOUT_NANOS / 20);
        }
        cluster.hosts.get(1).loseDisk();
        cluster.run(20 * TIMEOUT_NANOS);
        cluster.propose();
        cluster.run(TIMEOUT_NANOS);
        assertEquals(0, cluster.lostVoters());
        assertEquals(3, cluster.committedMembership().voters().size());
        cluster.hosts.forEach(each -> assertEquals(cluster.committedIndex(), each.appliedIndex));
    }

    /**
     * A replica with an empty data folder starts no election and grants no vote under the id that its host had before.
     */
    @Test
    void replicaWithEmptyFolderStartsNoElectionAndGrantsNoVoteForOldId() {
        ReplicaId old = new ReplicaId(HostId.of("h0"), 1);
        ReplicaId fresh = new ReplicaId(HostId.of("h0"), 2);
        ReplicaId other = new ReplicaId(HostId.of("h1"), 1);
        RaftNode node = new RaftNode(
                fresh, RaftSettings.builder().build(), RestoredState.EMPTY, new java.util.SplittableRandom(1), 0);
        long later = 100_000_000_000L;
        node.tick(later);
        node.step(later, new Message.VoteRequest(other, old, 5, 9, 4, false));
        assertFalse(node.hasReady());
        assertEquals(Role.FOLLOWER, node.role());
    }

    /**
     * Without a majority, uncommitted proposals accumulate up to the limit. Further ones are refused, and no part of a
     * refused batch is appended.
     */
    @Test
    void refusesProposalsBeyondUncommittedLimit() {
        SimCluster cluster = new SimCluster(3, 7, RaftSettings.builder().maxUncommittedBytes(900));
        SimHost leader = cluster.awaitLeader();
        cluster.run(TIMEOUT_NANOS);
        cluster.isolate(cluster.hosts.indexOf(leader));
        byte[] command = new byte[300];
        long before = leader.node.lastIndex();
        assertInstanceOf(ProposeOutcome.Appended.class, leader.node.propose(leader.clock(), List.of(command)));
        assertEquals(
                new ProposeOutcome.Refused(ProposeRefusal.TOO_MUCH_UNCOMMITTED),
                leader.node.propose(leader.clock(), List.of(command, command)));
        assertEquals(before + 1, leader.node.lastIndex());
    }

    @Test
    void acceptsMembershipChangesOneAtATimeAndOnlyWhenSafe() {
        SimCluster cluster = new SimCluster(3, 8);
        SimHost leader = cluster.awaitLeader();
        cluster.run(TIMEOUT_NANOS);
        ReplicaId fresh = new ReplicaId(HostId.of("new"), 1);
        ReplicaId voter = cluster.hosts.get(0).id;
        assertEquals(ProposeRefusal.UNKNOWN_REPLICA, refusal(leader, new MembershipChange.Promote(fresh)));
        assertEquals(ProposeRefusal.ALREADY_MEMBER, refusal(leader, new MembershipChange.AddLearner(voter)));
        assertNull(refusal(leader, new MembershipChange.AddLearner(fresh)));
        assertEquals(ProposeRefusal.CHANGE_IN_PROGRESS, refusal(leader, new MembershipChange.Remove(fresh)));
        cluster.run(TIMEOUT_NANOS);
        assertEquals(ProposeRefusal.NOT_CAUGHT_UP, refusal(leader, new MembershipChange.Promote(fresh)));
        assertNull(refusal(leader, new MembershipChange.Remove(fresh)));
    }

    /**
     * Guards against elections without end after a start of all hosts: their answers to the new leader take longer than
     * an election timeout, and it steps down before the first one arrives.
     */
    @Test
    void newLeaderWaitsLongerForFirstAnswers() {
        ReplicaId self = new ReplicaId(HostId.of("a"), 0);
        ReplicaId other = new ReplicaId(HostId.of("b"), 0);
        RaftSettings settings = RaftSettings.builder().build();
        RestoredState restored =
                RestoredState.bootstrap(Membership.ofVoters(List.of(self, other, new ReplicaId(HostId.of("c"), 0))));
        RaftNode node = new RaftNode(self, settings, restored, new java.util.SplittableRandom(1), 0);
        long timeout = settings.electionTimeoutNanos();
        long elected = 2 * timeout;
        node.tick(elected);
        node.step(elected, new Message.PreVoteResponse(other, self, node.term() + 1, true));
        node.step(elected, new Message.VoteResponse(other, self, node.term(), true));
        tickUntil(node, elected, elected + 2 * timeout);
        assertTrue(node.isLeader());
        node.step(elected + 2 * timeout, new Message.HeartbeatResponse(other, self, node.term(), elected));
        tickUntil(node, elected + 2 * timeout, elected + 3 * timeout - 1);
        assertTrue(node.isLeader());
        node.tick(elected + 3 * timeout);
        assertFalse(node.isLeader(), "an election timeout after the last answer");
    }

    private static void tickUntil(RaftNode node, long from, long until) {
        long interval = RaftSettings.builder().build().heartbeatNanos() / 4;
        for (long now = from; now < until; now += interval) {
            node.tick(now);
        }
        node.tick(until);
    }

    /** A learner that names a leader for ever would vouch for a table while the log has none. */
    @Test
    void learnerForgetsLeaderAfterLosingContact() {
        ReplicaId learner = new ReplicaId(HostId.of("learner"), 1);
        ReplicaId leader = new ReplicaId(HostId.of("leader"), 0);
        RaftSettings settings = RaftSettings.builder().build();
        RaftNode node = new RaftNode(learner, settings, RestoredState.EMPTY, new java.util.SplittableRandom(1), 0);
        node.step(0, new Message.Heartbeat(leader, learner, 3, 0, 0));
        node.tick(1);
        assertEquals(leader, node.leader());
        node.tick(2 * settings.electionTimeoutNanos());
        assertNull(node.leader());
        assertEquals(3, node.term());
    }

    private static ProposeRefusal refusal(SimHost leader, MembershipChange change) {
        ProposeOutcome outcome = leader.node.propose(leader.clock(), change);
        leader.processReady();
        return outcome instanceof ProposeOutcome.Refused refused ? refused.reason() : null;
    }

    /** Large entries limited only by number would fill the memory. */
    @Test
    void entriesRetainedBehindASnapshotAreBoundedInBytes() {
        RaftSettings.Builder bounds =
                RaftSettings.builder().maxInflightBytes(100).retainedEntries(50);
        SimCluster cluster = new SimCluster(1, 10, bounds);
        SimHost only = cluster.awaitLeader();
        for (int i = 0; i < 20; i++) {
            cluster.propose();
        }
        only.compact();
        RaftLog log = new RaftLog(only.disk.read());
        assertEquals(only.appliedIndex, log.firstIndex() - 1);
        assertEquals(2, only.node.retainedEntries());
    }

    @Test
    void singleVoterLeadsAndCommits() {
        SimCluster cluster = new SimCluster(1, 9);
        SimHost only = cluster.awaitLeader();
        cluster.propose();
        assertEquals(only.node.lastIndex(), only.appliedIndex);
        assertTrue(only.node.leaseUntilNanos() > only.clock());
        assertEquals(
                new ProposeOutcome.Refused(ProposeRefusal.LAST_VOTER),
                only.node.propose(only.clock(), new MembershipChange.Remove(only.id)));
    }

    @Test
    void idsAndMembershipsKeepTheirTextForm() {
        ReplicaId id = new ReplicaId(HostId.of("th-north/chiangmai-a.1"), -2);
        assertEquals(id, ReplicaId.parse(id.toString()));
        Membership membership = new Membership(List.of(id), List.of(new ReplicaId(HostId.of("b"), 3)));
        assertEquals(membership, Membership.ofBytes(membership.toBytes()));
    }
}
