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
        await("three voters", () -> replicas.stream().allMatch(TestReplica::votes));
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
        throw new AssertionError("never: " + what);
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

    /** Proposes until committed commands number so many more than before; returns how many were surely committed. */
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
        return replicas.stream().allMatch(each -> each.votes() && each.count == first.count && each.sum == first.sum);
    }

    /**
     * The leader's host stops, hundreds of changes pass, it comes back with its old folder; then another host comes
     * back with an empty one. Each catches up, and the lost replica is replaced by the new one.
     */
    @Test
    void aStoppedAndAnEmptiedHostCatchUp() throws Exception {
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
        // A leader's status is published after its sync, when the replica that it promoted may know already.
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
    void leadershipMovesAndReadsAreConfirmed() throws Exception {
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
     * The leader's disk fills up. What it had not synced is unknown or refused, never answered as committed by it; it
     * stops to lead, another takes over, and it follows again once there is room.
     */
    @Test
    void aLeaderWithAFullDiskGivesWay() throws Exception {
        commit(10);
        TestReplica full = leader();
        full.diskFull = true;
        CompletableFuture<ProposeResult> caught = propose(full, 1);
        await("does not lead", () -> !full.driver.isLeader());
        assertEquals(
                new ProposeResult.Refused(ProposeRefusal.DISK_FULL),
                propose(full, 2).get(30, TimeUnit.SECONDS));
        await("another leads", () -> replicas.stream().anyMatch(each -> each != full && each.driver.isLeader()));
        commit(10);
        full.diskFull = false;
        await("follows again", this::allAgree);
        caught.get(30, TimeUnit.SECONDS);
    }

    /** Guards against a lost disk that costs its voter for good, where the settings name no host that leads. */
    @Test
    void aHostThatLostItsDiskIsLetInThoughItKnowsOnlyAFollower() throws Exception {
        TestReplica leader = leader();
        int follower = (replicas.indexOf(leader) + 1) % 3;
        int emptied = (replicas.indexOf(leader) + 2) % 3;
        replicas.get(emptied).stop();
        TestReplica fresh = new TestReplica(network, emptied, () -> List.of(replicas.get(follower).address));
        replicas.set(emptied, fresh);
        fresh.start(data.resolve("second"), false);
        await("a voter again", fresh::votes);
        await(
                "the lost replica is out",
                () -> leader.driver.status().membership().voters().size() == 3);
    }

    /** Guards against a lost disk that costs its voter for good, where none of the hosts of the settings is left. */
    @Test
    void aHostThatLostItsDiskAsksWhoStillWritesToIt() throws Exception {
        int emptied = (replicas.indexOf(leader()) + 1) % 3;
        replicas.get(emptied).stop();
        TestReplica fresh = new TestReplica(network, emptied, () -> List.of(new Address("127.0.0.1", 99)));
        replicas.set(emptied, fresh);
        fresh.start(data.resolve("second"), false);
        await("a voter again", fresh::votes);
    }

    /** Guards against a replacement that waits for another question before each of its steps. */
    @Test
    void oneQuestionIsEnoughToReplaceALostReplica() throws Exception {
        TestReplica leader = leader();
        int emptied = (replicas.indexOf(leader) + 1) % 3;
        replicas.get(emptied).stop();
        TestReplica fresh = new TestReplica(network, emptied, List::of);
        replicas.set(emptied, fresh);
        fresh.start(data.resolve("second"), false);
        RaftChannels.Join question = new RaftChannels.Join(fresh.driver.status().self());
        network.call(leader.address, RaftChannels.JOIN, question, Duration.ofSeconds(1));
        await("a voter again", fresh::votes);
    }

    /** Guards against a control host that stays lost while nobody is told of it. */
    @Test
    void theLeaderCountsVotersThatAreMissing() throws Exception {
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

    /** Proposals that come while a sync runs share the next one: a sync each would bound claims by the disk. */
    @Test
    void oneSyncServesManyProposals() throws Exception {
        commit(1);
        TestReplica leader = leader();
        CountDownLatch gate = new CountDownLatch(1);
        long before = leader.metrics.counter("raft.syncs").getCount();
        leader.gate = gate;
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
