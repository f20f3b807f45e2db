package org.elmline.bench.policy;

import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;

import com.sun.management.ThreadMXBean;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.PlacementSettings;
import org.elmline.core.placement.Replica;
import org.elmline.standin.model.EngineProfile;

/**
 * Measures time and allocation of one placement decision by number of replicas, in a plain loop. The time is the median
 * of several rounds, so that slow first rounds don't count; the allocation is that of the last round. Every replica has
 * a dozen prefills in progress.
 */
public final class DecisionCost {
    private static final int ROUNDS = 9;
    private static final long ROUND_NANOS = 60_000_000;
    private static final int PREFILLS_PER_REPLICA = 12;
    private static final int BATCH_SIZE = 16;

    private final EngineProfile profile = EngineProfile.builder().build();
    /** Number of decisions that chose a replica; it is read at the end, so that the compiler keeps the measured calls. */
    private int sink;

    /** Measures every policy and prints one Markdown table. */
    public void run(List<Integer> sizes, PrintWriter out) {
        out.println("| policy | replicas | ns a decision | bytes a decision |\n|---|---|---|---|");
        for (String name : PlacementPolicies.names()) {
            PlacementPolicy policy =
                    PlacementPolicies.named(name, PlacementSettings.defaults()).orElseThrow();
            for (int size : sizes) {
                out.println(line(policy, size));
            }
        }
        if (sink == Integer.MIN_VALUE) {
            out.println();
        }
    }

    private String line(PlacementPolicy policy, int size) {
        List<Replica> replicas = replicas(size);
        List<Demand> demands = demands();
        Random random = new Random(1);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        double[] nanos = new double[ROUNDS];
        double bytes = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long decisions = 0;
            long allocated =
                    threads.getThreadAllocatedBytes(Thread.currentThread().getId());
            long start = System.nanoTime();
            long end = start;
            while (end - start < ROUND_NANOS) {
                for (int i = 0; i < BATCH_SIZE; i++) {
                    Demand demand = demands.get((int) (decisions++ % demands.size()));
                    sink += policy.choose(demand, replicas, random).isPresent() ? 1 : 0;
                }
                end = System.nanoTime();
            }
            nanos[round] = (double) (end - start) / decisions;
            bytes = (double) (threads.getThreadAllocatedBytes(
                                    Thread.currentThread().getId())
                            - allocated)
                    / decisions;
        }
        Arrays.sort(nanos);
        return String.format(
                Locale.ROOT, "| %s | %,d | %,.0f | %,.0f |", policy.name(), size, nanos[ROUNDS / 2], bytes);
    }

    private List<Replica> replicas(int size) {
        List<Replica> replicas = new ArrayList<>();
        Random random = new Random(size);
        for (int i = 0; i < size; i++) {
            SimulatedReplica replica = new SimulatedReplica(i, profile, 1, 0);
            for (int k = 0; k < PREFILLS_PER_REPLICA; k++) {
                LengthClass lengthClass = LengthClass.values()[random.nextInt(3)];
                replica.backlog().recordPlacement(lengthClass, 1_000 + random.nextInt(20_000), 1, 0);
                replica.reserve(lengthClass, 10_000);
            }
            replicas.add(replica);
        }
        return replicas;
    }

    private static List<Demand> demands() {
        List<Demand> demands = new ArrayList<>();
        for (int tokens : new int[] {1_500, 3_000, 2_000, 20_000, 1_000, 60_000, 2_500, 200_000}) {
            List<Long> hashes = new ArrayList<>();
            for (long block = 0; block < tokens / 512; block++) {
                hashes.add(block + tokens);
            }
            demands.add(new Demand(ModelName.of("elm"), "", tokens, 200, hashes, 0, 10_000, Set.of()));
        }
        return demands;
    }
}
