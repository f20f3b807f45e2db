package org.elmline.daemon.raft;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Prints committed proposals per second through three replicas in one process, by the number of concurrent callers. */
public final class ProposalMeasurement {
    private static final int ROUNDS = 7;
    private static final long ROUND_NANOS = 1_000_000_000L;
    private static final int COMMAND_BYTES = 300;

    private ProposalMeasurement() {}

    /** @param args the folder for the data, on the disk to measure */
    public static void main(String[] args) throws Exception {
        Path data = Files.createDirectories(Path.of(args[0]));
        MemoryNetwork network = new MemoryNetwork();
        List<TestReplica> replicas = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            replicas.add(new TestReplica(network, i, () -> replicas.stream()
                    .map(each -> each.address)
                    .toList()));
            replicas.get(i).start(data.resolve("run-" + ProcessHandle.current().pid() + "-" + i), i == 0);
        }
        while (!replicas.stream().allMatch(TestReplica::isVoter)) {
            Thread.sleep(10);
        }
        for (int callers : new int[] {1, 16, 256, 2_048}) {
            measure(replicas, callers);
        }
        replicas.forEach(TestReplica::stop);
    }

    private static void measure(List<TestReplica> replicas, int callers) throws Exception {
        runRound(leader(replicas), callers);
        double[] proposals = new double[ROUNDS];
        double[] perSync = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            TestReplica leader = leader(replicas);
            long syncs = leader.metrics.counter("raft.syncs").getCount();
            int done = runRound(leader, callers);
            proposals[i] = done;
            perSync[i] = done
                    / (double) Math.max(1, leader.metrics.counter("raft.syncs").getCount() - syncs);
        }
        Arrays.sort(proposals);
        Arrays.sort(perSync);
        System.out.printf(
                "%d callers: proposals a second median %.0f (least %.0f, most %.0f), per sync median %.1f%n",
                callers, proposals[ROUNDS / 2], proposals[0], proposals[ROUNDS - 1], perSync[ROUNDS / 2]);
    }

    /**
     * Looked up for each round, since on a busy machine the leader's thread may pause for an election timeout and
     * another replica become leader.
     */
    private static TestReplica leader(List<TestReplica> replicas) throws InterruptedException {
        while (true) {
            for (TestReplica each : replicas) {
                if (each.driver.isLeader()) {
                    return each;
                }
            }
            Thread.sleep(10);
        }
    }

    private static int runRound(TestReplica leader, int callers) throws InterruptedException {
        Semaphore slots = new Semaphore(callers);
        AtomicInteger committed = new AtomicInteger();
        long endNanos = System.nanoTime() + ROUND_NANOS;
        while (System.nanoTime() < endNanos) {
            slots.acquire();
            CompletableFuture<ProposeResult> result = leader.driver.propose(new byte[COMMAND_BYTES]);
            result.thenAccept(each -> {
                if (each instanceof ProposeResult.Committed) {
                    committed.incrementAndGet();
                }
                slots.release();
            });
        }
        slots.acquire(callers);
        return committed.get();
    }
}
