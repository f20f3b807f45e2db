package org.elmline.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlacementPoliciesTest {
    private static final ModelName MODEL = ModelName.of("elm");

    private static Demand demand(int promptTokens, Set<BackendServerId> excluded) {
        return new Demand(MODEL, "", promptTokens, 256, List.of(), 0, 10_000, excluded);
    }

    private static List<Replica> replicas(int size, Random random) {
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            replicas.add(FakeReplica.random("engine-" + i, random));
        }
        return replicas;
    }

    private static PlacementPolicy policy(String name) {
        return PlacementPolicies.named(name, PlacementSettings.defaults()).orElseThrow();
    }

    @Test
    void allPoliciesAreRegistered() {
        assertEquals(
                List.of(
                        "fixed-split",
                        "least-requests",
                        "power-of-two",
                        "random",
                        "round-robin",
                        "shortest-wait",
                        "two-ended"),
                PlacementPolicies.names());
        assertTrue(PlacementPolicies.named("none-such", PlacementSettings.defaults())
                .isEmpty());
    }

    @Property(tries = 400, seed = "101")
    void neverChoosesExcludedOrFullReplica(
            @ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(max = 12) int size,
            @ForAll @IntRange(min = 1, max = 500_000) int promptTokens) {
        Random random = new Random(seed);
        List<Replica> replicas = replicas(size, random);
        Set<BackendServerId> excluded = new HashSet<>();
        replicas.stream().filter(r -> random.nextInt(4) == 0).forEach(r -> excluded.add(r.id()));
        Demand demand = demand(promptTokens, excluded);
        for (String name : PlacementPolicies.names()) {
            Optional<Replica> chosen = policy(name).choose(demand, replicas, random);
            chosen.ifPresent(replica -> {
                assertFalse(excluded.contains(replica.id()), name);
                assertTrue(replica.freeKvTokens() >= demand.kvTokens(), name);
            });
            boolean splits = name.equals("two-ended") || name.equals("fixed-split");
            if (!splits && chosen.isEmpty()) {
                assertTrue(
                        replicas.stream().noneMatch(r -> Eligibility.isEligible(r, demand)),
                        name + " missed an eligible replica");
            }
        }
    }

    @Property(tries = 200, seed = "102")
    void sameSeedGivesSameChoice(@ForAll @IntRange(max = 1_000_000) int seed) {
        List<Replica> replicas = replicas(9, new Random(seed));
        Demand demand = demand(1 + seed % 90_000, Set.of());
        for (String name : PlacementPolicies.names()) {
            assertEquals(
                    policy(name).choose(demand, replicas, new Random(seed)),
                    policy(name).choose(demand, replicas, new Random(seed)),
                    name);
        }
    }

    /** Whatever the ledgers contain, at least one replica, always the same, receives no long prompts. */
    @Property(tries = 60, seed = "103")
    void longPromptsLeaveOneReplicaUnused(
            @ForAll @IntRange(min = 2, max = 30) int size, @ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        PlacementPolicy policy = policy("two-ended");
        Set<BackendServerId> used = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            policy.choose(demand(33_000 + random.nextInt(200_000), Set.of()), replicas(size, random), random)
                    .ifPresent(r -> used.add(r.id()));
        }
        assertTrue(used.size() <= LongReplicaLimit.replicasForLong(size, 0.95));
        assertTrue(used.size() < size);
    }

    @Test
    void aSingleReplicaServesAllLengths() {
        List<Replica> one = List.of(FakeReplica.idle("engine-1"));
        assertTrue(policy("two-ended")
                .choose(demand(200_000, Set.of()), one, new Random(1))
                .isPresent());
        assertTrue(policy("fixed-split")
                .choose(demand(1_000, Set.of()), one, new Random(1))
                .isPresent());
    }

    /** Compares with an exhaustive search that scores every replica by the formula written out. */
    @Property(tries = 500, seed = "104")
    void twoEndedMatchesExhaustiveSearch(
            @ForAll @IntRange(max = 1_000_000) int seed,
            @ForAll @IntRange(min = 1, max = 8) int size,
            @ForAll @IntRange(min = 1_000, max = 400_000) int promptTokens) {
        List<Replica> replicas = replicas(size, new Random(seed));
        Demand demand = demand(promptTokens, Set.of());
        Optional<Replica> chosen = policy("two-ended").choose(demand, replicas, new Random(seed));
        assertEquals(exhaustiveSearch(demand, replicas), chosen);
    }

    private static Optional<Replica> exhaustiveSearch(Demand demand, List<Replica> replicas) {
        ReplicaOrder order = ReplicaOrder.of(MODEL, replicas);
        int size = replicas.size();
        boolean isLong = demand.promptTokens() > 32_000;
        int rankLimit = isLong && size > 1 ? Math.min(size - 1, Math.max(1, (int) Math.round(size * 0.95))) : size;
        Replica best = null;
        double lowestScore = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            Replica each = replicas.get(i);
            if (order.rank(i) >= rankLimit || each.reservedKvTokens() + demand.kvTokens() > each.capacityKvTokens()) {
                continue;
            }
            double score = expectedScore(demand, each, (order.rank(i) + 0.5) / size);
            if (score < lowestScore - 1e-9) {
                lowestScore = score;
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }

    private static double expectedScore(Demand demand, Replica replica, double position) {
        int[] priorities = {0, 1, 2, 2};
        double[] steps = {0.015, 0.015, 0.045, 0.15};
        int cached = replica.cachedTokens(demand);
        double cost = (demand.promptTokens() - cached) * (1 + (demand.promptTokens() + cached) / 2.0 / 200_000);
        double own = cost / replica.prefillTokensPerSecond();
        int ownClass = demand.lengthClass().ordinal();
        double ahead = 0;
        double step = 0;
        for (int k = 0; k < priorities.length; k++) {
            long backlog = replica.prefillBacklogTokens(LengthClass.values()[k]);
            if (priorities[k] <= priorities[ownClass]) {
                ahead += backlog / replica.prefillTokensPerSecond();
            } else if (backlog > 0) {
                step = steps[k];
            }
        }
        double wait = (own + ahead + step) * (1 + 0.003 * replica.openStreams());
        double delayWeight = (step > 0 ? 0.5 : 0) + (ownClass > 0 ? 0.2 * position : 0);
        return wait + delayWeight * own;
    }

    /**
     * A cached prefix is worth only the prefill that it saves: once the queue of the engine that holds it costs more,
     * another engine is chosen.
     */
    @Test
    void prefixAffinityYieldsToLoad() {
        FakeReplica holder = FakeReplica.idle("engine-1").withCached(20_000);
        FakeReplica other = FakeReplica.idle("engine-2");
        Demand demand = demand(24_000, Set.of());
        PlacementPolicy policy = policy("shortest-wait");
        Random random = new Random(1);
        assertEquals(
                holder, policy.choose(demand, List.of(holder, other), random).orElseThrow());
        FakeReplica busy = holder.withBacklog(LengthClass.SHORT, 30_000);
        assertEquals(other, policy.choose(demand, List.of(busy, other), random).orElseThrow());
    }

    @Test
    void orderIsAPermutationAndKeepsRelativeOrderWhenAReplicaLeaves() {
        List<Replica> replicas = replicas(50, new Random(1));
        ReplicaOrder order = ReplicaOrder.of(MODEL, replicas);
        Set<Integer> ranks = new HashSet<>();
        for (int i = 0; i < replicas.size(); i++) {
            ranks.add(order.rank(i));
        }
        assertEquals(50, ranks.size());
        ReplicaOrder without = ReplicaOrder.of(MODEL, replicas.subList(1, 50));
        for (int i = 1; i < 50; i++) {
            int expected = order.rank(i) - (order.rank(i) > order.rank(0) ? 1 : 0);
            assertEquals(expected, without.rank(i - 1));
        }
        assertFalse(order.matches(replicas.subList(1, 50)));
    }
}
