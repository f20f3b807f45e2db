package org.elmline.daemon.raft;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.elmline.core.common.Address;
import org.elmline.core.raft.ProposeRefusal;
import org.elmline.core.raft.ReplicaId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Three replicas with real threads, clocks and files. The first is bootstrapped, the others join. */
class RaftDriverTest {
    private final MemoryNetwork network = new MemoryNetwork();
    private final List<TestReplica> replicas = new ArrayList<>();

    @TempDir
    Path data;

    @BeforeEach
    void startThree() throws Exception {
        for (int i = 0; i < 3; i++) {
            TestReplica each = new TestReplica(network, i, this::members);
            replicas.add(each);
            each.start(data.resolve("first-" + i), i == 0);
        }
        await("three voters", () -> replicas.stream().allMatch(TestReplica::isVoter));
    }

    @AfterEach
    void stopAll() {
        replicas.forEach(TestReplica::stop);
    }

    private List<Address> members() {
        return replicas.stream().map(each -> each.address).toList();
    }

    private static void await(String what, BooleanSupplier condition) throws Exception {
        for (int i = 0; i < 3_000; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("condition not met within 30 s: " + what);
    }

    private TestReplica leader() throws Exception {
        await("a leader", () -> replicas.stream().anyMatch(each -> each.driver.isLeader()));
        return replicas.stream()
                .filter(each -> each.driver.isLeader())
                .findFirst()
                .orElseThrow();
    }

    private static CompletableFuture<ProposeResult> propose(TestReplica to, long number) {
        return to.driver.propose(ByteBuffer.allocate(Long.BYTES).putLong(number).array());
    }

    /**
     * Proposes until this many commands are known to be committed; a command with an unknown result is proposed again.
     */
    private void commit(int commands) throws Exception {
        int done = 0;
        while (done < commands) {
            List<CompletableFuture<ProposeResult>> batch = new ArrayList<>();
            TestReplica leader = leader();
            for (int i = done; i < commands; i++) {
                batch.add(propose(leader, i));
            }
            for (CompletableFuture<ProposeResult> each : batch) {
                done += each.get(30, TimeUnit.SECONDS) instanceof ProposeResult.Committed ? 1 : 0;
            }
        }
    }

    private boolean allAgree() {
        TestReplica first = replicas.get(0);
        return replicas.stream().allMatch(each -> each.isVoter() && each.count == first.count && each.sum == first.sum);
    }

    /**
     * Stops the leader's host, commits 500 commands and restarts it with its old folder; then restarts another host
     * with an empty folder. Both must catch up, and the new replica must replace the lost one.
     */
    @Test
    void restartedAndEmptiedHostsCatchUp() throws Exception {
        commit(50);
        TestReplica stopped = leader();
        int number = replicas.indexOf(stopped);
        stopped.stop();
        commit(500);
        stopped.start(data.resolve("first-" + number), false);
        await("caught up by snapshot", this::allAgree);
        TestReplica emptied = replicas.get((number + 1) % 3);
        emptied.stop();
        emptied.start(data.resolve("second"), false);
        await("replaced", this::allAgree);
        // The leader publishes its status after its sync, possibly later than the replica that it promoted.
        TestReplica leader = leader();
        await("known to the leader", () -> voters(leader).size() == 3);
        assertEquals(
                replicas.stream()
                        .map(each -> each.driver.status().self())
                        .sorted()
                        .toList(),
                voters(leader));
        assertTrue(stopped.count >= 550);
    }

    @Test
    void transfersLeadershipAndConfirmsReads() throws Exception {
        commit(10);
        TestReplica old = leader();
        assertTrue(old.driver.transferLeadership().get(30, TimeUnit.SECONDS));
        assertFalse(old.driver.isLeader());
        await("another leads", () -> replicas.stream().anyMatch(each -> each != old && each.driver.isLeader()));
        commit(1);
        ReadResult read = leader().driver.readIndex().get(30, TimeUnit.SECONDS);
        assertInstanceOf(ReadResult.Readable.class, read);
        assertInstanceOf(ReadResult.NotLeader.class, old.driver.readIndex().get(30, TimeUnit.SECONDS));
    }

    /**
     * Fills the leader's disk. Commands that it had not synced must be unknown or refused, never answered as committed
     * by it; it stops leading, another replica takes over, and it follows again once its disk has room.
     */
    @Test
    void leaderWithFullDiskStopsLeading() throws Exception {
        commit(10);
        TestReplica full = leader();
        full.diskFull = true;
        CompletableFuture<ProposeResult> pending = propose(full, 1);
        await("does not lead", () -> !full.driver.isLeader());
        assertEquals(
                new ProposeResult.Refused(ProposeRefusal.DISK_FULL),
                propose(full, 2).get(30, TimeUnit.SECONDS));
        await("another leads", () -> replicas.stream().anyMatch(each -> each != full && each.driver.isLeader()));
        commit(10);
        full.diskFull = false;
        await("follows again", this::allAgree);
        pending.get(30, TimeUnit.SECONDS);
    }

    /**
     * Guards against the permanent loss of a voter whose disk was lost when the settings don't name the leader's host.
     */
    @Test
    void emptiedHostJoinsThroughFollower() throws Exception {
        TestReplica leader = leader();
        int follower = (replicas.indexOf(leader) + 1) % 3;
        int emptied = (replicas.indexOf(leader) + 2) % 3;
        replicas.get(emptied).stop();
        TestReplica fresh = new TestReplica(network, emptied, () -> List.of(replicas.get(follower).address));
        replicas.set(emptied, fresh);
        fresh.start(data.resolve("second"), false);
        await("a voter again", fresh::isVoter);
        await(
                "the lost replica is out",
                () -> leader.driver.status().membership().voters().size() == 3);
    }

    /**
     * Guards against the permanent loss of a voter whose disk was lost when none of the hosts in the settings exists
     * any more.
     */
    @Test
    void emptiedHostJoinsThroughSenderOfMessages() throws Exception {
        int emptied = (replicas.indexOf(leader()) + 1) % 3;
        replicas.get(emptied).stop();
        TestReplica fresh = new TestReplica(network, emptied, () -> List.of(new Address("127.0.0.1", 99)));
        replicas.set(emptied, fresh);
        fresh.start(data.resolve("second"), false);
        await("a voter again", fresh::isVoter);
    }

    /** Guards against a replacement that needs a further join request for each of its steps. */
    @Test
    void replacesLostReplicaAfterOneJoinRequest() throws Exception {
        TestReplica leader = leader();
        int emptied = (replicas.indexOf(leader) + 1) % 3;
        replicas.get(emptied).stop();
        TestReplica fresh = new TestReplica(network, emptied, List::of);
        replicas.set(emptied, fresh);
        fresh.start(data.resolve("second"), false);
        RaftChannels.Join joinRequest =
                new RaftChannels.Join(fresh.driver.status().self());
        network.call(leader.address, RaftChannels.JOIN, joinRequest, Duration.ofSeconds(1));
        await("a voter again", fresh::isVoter);
    }

    /** Guards against a lost control host that is not reported to operators. */
    @Test
    void leaderCountsMissingVoters() throws Exception {
        TestReplica leader = leader();
        assertEquals(0, missingVoters(leader));
        TestReplica stopped = replicas.get((replicas.indexOf(leader) + 1) % 3);
        stopped.stop();
        await("one missing", () -> missingVoters(leader) == 1);
        stopped.start(data.resolve("first-" + replicas.indexOf(stopped)), false);
        await("none missing", () -> missingVoters(leader) == 0);
    }

    private static List<ReplicaId> voters(TestReplica leader) {
        return leader.driver.status().membership().voters();
    }

    private static int missingVoters(TestReplica leader) {
        return (Integer) leader.metrics.getGauges().get("raft.voters.missing").getValue();
    }

    /**
     * Proposals that arrive during a sync share the next one; with one sync per proposal the disk would limit the rate
     * of claims.
     */
    @Test
    void sharesSyncsBetweenProposals() throws Exception {
        commit(1);
        TestReplica leader = leader();
        CountDownLatch gate = new CountDownLatch(1);
        long before = leader.metrics.counter("raft.syncs").getCount();
        leader.syncGate = gate;
        List<CompletableFuture<ProposeResult>> all = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            all.add(propose(leader, i));
        }
        gate.countDown();
        for (CompletableFuture<ProposeResult> each : all) {
            each.get(30, TimeUnit.SECONDS);
        }
        long syncs = leader.metrics.counter("raft.syncs").getCount() - before;
        assertTrue(syncs <= 20, syncs + " syncs for 2000 proposals");
        await("all agree", this::allAgree);
    }
}
