package org.elmline.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.elmline.core.common.LengthClass;

/**
 * Long prompts fill a model's replicas from one end of their order and leave the other end to short prompts, so that
 * the boundary moves with the load. Each request takes the replica with the least sum of its own predicted time to
 * first token and the weighted delay that it causes to other requests there. A cached prefix shortens the prediction,
 * so the replica that holds it is preferred only while its queue costs less than the cache saves. Thread-safe.
 */
public final class TwoEnded implements PlacementPolicy {
    private final PlacementSettings settings;
    private final WaitPredictor predictor;
    private final ReplicaOrderCache orders = new ReplicaOrderCache();

    public TwoEnded() {
        this(PlacementSettings.defaults());
    }

    public TwoEnded(PlacementSettings settings) {
        this.settings = settings;
        predictor = new WaitPredictor(settings);
    }

    @Override
    public String name() {
        return "two-ended";
    }

    @Override
    public PlacementPolicy with(PlacementSettings other) {
        return new TwoEnded(other);
    }

    @Override
    public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
        int size = replicas.size();
        ReplicaOrder order = orders.orderFor(demand.model(), replicas);
        int rankLimit = LongReplicaLimit.isLong(demand)
                ? LongReplicaLimit.replicasForLong(size, settings.maxLongShare())
                : size;
        Replica best = null;
        double lowestScore = Double.POSITIVE_INFINITY;
        for (int i = 0; i < size; i++) {
            Replica each = replicas.get(i);
            int rank = order.rank(i);
            if (rank >= rankLimit || !Eligibility.isEligible(each, demand)) {
                continue;
            }
            double score = score(demand, each, (rank + 0.5) / size);
            if (score < lowestScore) {
                lowestScore = score;
                best = each;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Score in seconds, lower is better; {@code position} runs from 0 at the long end to 1 at the short end. */
    private double score(Demand demand, Replica replica, double position) {
        double ownPrefillSeconds = predictor.prefillSeconds(demand, replica);
        double wait = predictor.secondsToFirstToken(demand, replica, ownPrefillSeconds);
        double delayWeight = 0;
        if (predictor.hasLessUrgentPrefill(demand, replica)) {
            delayWeight += settings.displacementWeight();
        }
        if (demand.lengthClass() != LengthClass.SHORT) {
            // The nearer a replica is to the short end, the more short requests it receives.
            delayWeight += settings.shortSlowdownWeight() * position;
        }
        return wait + delayWeight * ownPrefillSeconds;
    }
}
