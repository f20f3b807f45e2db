package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;

/**
 * Prints the time without a leader after the leader is killed or transfers leadership, as a multiple of the shortest
 * election timeout, in the simulated network. The same seeds print the same figures.
 */
public final class FailoverMeasurement {
    private static final int RUNS = 500;
    private static final long STEP_NANOS = SimCluster.TIMEOUT_NANOS / 20;

    private FailoverMeasurement() {}

    public static void main(String[] args) {
        for (int size : new int[] {3, 5}) {
            for (int loss : new int[] {0, 10}) {
                List<Double> crash = new ArrayList<>();
                List<Double> transfer = new ArrayList<>();
                for (int seed = 0; seed < RUNS; seed++) {
                    crash.add(timeWithoutLeader(size, loss, seed, false));
                    transfer.add(timeWithoutLeader(size, loss, seed, true));
                }
                System.out.printf(
                        "replicas %d loss %d%%: killed %s, handed over %s%n",
                        size, loss, format(crash), format(transfer));
            }
        }
    }

    /**
     * Time from the last moment with a leader that accepts proposals to the first with a new one, in election timeouts.
     */
    private static double timeWithoutLeader(int size, int loss, int seed, boolean transfer) {
        SimCluster cluster = new SimCluster(size, seed);
        SimHost old = cluster.awaitLeader();
        cluster.run(5 * SimCluster.TIMEOUT_NANOS + seed % 20 * STEP_NANOS);
        cluster.lossPercent = loss;
        if (transfer) {
            old.node.transferLeadership(old.clock());
            old.processReady();
        } else {
            old.crash();
        }
        long stoppedAt = cluster.now();
        long term = cluster.hosts.stream()
                .filter(each -> each.node != null)
                .mapToLong(each -> each.node.term())
                .max()
                .orElse(0);
        while (cluster.now() < stoppedAt + 1_000 * SimCluster.TIMEOUT_NANOS) {
            SimHost leader = cluster.leader();
            boolean committed =
                    leader != null && leader.node.term() > term && leader.node.leaseUntilNanos() != RaftNode.NO_LEASE;
            if (committed) {
                return (cluster.now() - stoppedAt) / (double) SimCluster.TIMEOUT_NANOS;
            }
            if (leader == old && old.node.term() == term && takesProposals(old)) {
                stoppedAt = cluster.now();
            }
            cluster.run(STEP_NANOS);
        }
        throw new IllegalStateException("no leader with seed " + seed);
    }

    private static boolean takesProposals(SimHost leader) {
        boolean taken = leader.node.propose(leader.clock(), List.of(new byte[1])) instanceof ProposeOutcome.Appended;
        leader.processReady();
        return taken;
    }

    private static String format(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(
                "median %.2f (5%% %.2f, 95%% %.2f, most %.2f)",
                sorted.get(RUNS / 2), sorted.get(RUNS / 20), sorted.get(RUNS - RUNS / 20), sorted.get(RUNS - 1));
    }
}
