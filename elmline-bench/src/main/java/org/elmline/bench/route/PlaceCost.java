package org.elmline.bench.route;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import com.sun.management.ThreadMXBean;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.owner.Owner;
import org.elmline.core.owner.OwnerSettings;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.PlacementSettings;
import org.elmline.core.route.FirstToken;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.Release;
import org.elmline.core.route.ReleaseCause;

/**
 * Measures time and allocation of {@link Owner#place} with the default policy, for prompts of 1,000 to 8,000 tokens.
 */
final class PlaceCost {
    private static final int ROUNDS = 11;
    private static final int BATCH_SIZE = 16;
    private static final int BATCHES = 200;
    private static final int WARM_UP_ROUNDS = 4;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final Owner owner;
    private final Random random = new Random(1);
    private long now;
    private int attempts;
    private long totalNanos;
    private long totalBytes;
    private int notPlaced;

    PlaceCost(int engines) {
        PlacementPolicy policy = PlacementPolicies.named(PlacementPolicies.DEFAULT, PlacementSettings.defaults())
                .orElseThrow();
        owner = new Owner(
                BenchCluster.host(0, 1), policy, random, OwnerSettings.builder().build());
        owner.leaseUntil(Long.MAX_VALUE);
        owner.members(List.of(BenchCluster.host(0, 1)), now);
        for (int i = 0; i < engines; i++) {
            owner.announce(BenchCluster.engine(i, 1), now);
        }
    }

    /**
     * Nanoseconds (first) and allocated bytes (second) per call of {@code place()}, one value for each round after the
     * warm-up.
     */
    List<Samples> measure() {
        double[] nanosEach = new double[ROUNDS];
        double[] bytesEach = new double[ROUNDS];
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            totalNanos = 0;
            totalBytes = 0;
            for (int batch = 0; batch < BATCHES; batch++) {
                runBatch();
            }
            if (round >= 0) {
                nanosEach[round] = (double) totalNanos / (BATCH_SIZE * BATCHES);
                bytesEach[round] = (double) totalBytes / (BATCH_SIZE * BATCHES);
            }
        }
        return List.of(new Samples(nanosEach), new Samples(bytesEach));
    }

    int notPlaced() {
        return notPlaced;
    }

    private void runBatch() {
        List<PlaceRequest> requests = new ArrayList<>();
        for (int i = 0; i < BATCH_SIZE; i++) {
            requests.add(request());
        }
        List<PlaceRequest> placed = new ArrayList<>();
        long allocated = THREADS.getCurrentThreadAllocatedBytes();
        long start = System.nanoTime();
        for (PlaceRequest each : requests) {
            if (owner.place(each, now).orElse(null) instanceof OwnerPlaceAnswer.Placed) {
                placed.add(each);
            }
        }
        totalNanos += System.nanoTime() - start;
        totalBytes += THREADS.getCurrentThreadAllocatedBytes() - allocated;
        notPlaced += requests.size() - placed.size();
        now += 1_000_000;
        finish(placed);
    }

    private void finish(List<PlaceRequest> placed) {
        List<FirstToken> firstTokens = new ArrayList<>();
        List<Release> releases = new ArrayList<>();
        for (PlaceRequest each : placed) {
            firstTokens.add(new FirstToken(each.attempt(), 100));
            releases.add(new Release(each.attempt(), ReleaseCause.FINISHED));
        }
        owner.report(new GrantReport(BenchCluster.host(0, 1).id(), Incarnation.of(1), firstTokens, releases), now);
    }

    private PlaceRequest request() {
        Demand demand =
                new Demand(BenchCluster.MODEL, "", 1_000 + random.nextInt(7_000), 200, List.of(), 0, 30_000, Set.of());
        AttemptId attempt = AttemptId.of("host-0/" + attempts++);
        OrganisationId organisation = OrganisationId.of("org-" + random.nextInt(50));
        return new PlaceRequest(attempt, BenchCluster.host(0, 1).id(), Incarnation.of(1), organisation, demand);
    }
}
