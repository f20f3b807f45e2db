package org.elmline.core.fairness;

import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.OrganisationId;

/**
 * A virtual token counter for each organisation, after start-time fair queueing (Goyal, Vin, Cheng, 1996) with the
 * tokens of a request as its length. A request starts at the larger of its organisation's counter and the counter of
 * the request served last, so an organisation that was idle gains no credit from it; its counter then grows by tokens
 * over weight. Serving by least start keeps any two waiting organisations within one longest request each, over
 * weights. Not thread-safe.
 */
public final class VirtualCounters {
    private static final int MIN_PRUNE_SIZE = 256;

    private final Map<OrganisationId, Double> virtualFinishes = new HashMap<>();
    private double virtualTime;
    private int pruneThreshold = MIN_PRUNE_SIZE;

    /** Charges a request and returns its start. */
    public double charge(OrganisationId organisation, int weight, long tokens) {
        double start = Math.max(virtualTime, virtualFinishes.getOrDefault(organisation, virtualTime));
        virtualFinishes.put(organisation, start + (double) tokens / weight);
        prune();
        return start;
    }

    /** Takes a charge back, for a request that was never served. */
    public void refund(OrganisationId organisation, int weight, long tokens) {
        virtualFinishes.computeIfPresent(organisation, (id, finish) -> finish - (double) tokens / weight);
    }

    /** A request with this start begins to be served. */
    public void recordServed(double start) {
        virtualTime = Math.max(virtualTime, start);
    }

    /** Nobody waits: all had what they asked for, so nobody owes or is owed. Ends what the counters remember. */
    public void reset() {
        virtualFinishes.clear();
        virtualTime = 0;
    }

    int size() {
        return virtualFinishes.size();
    }

    /** A counter that fell behind the served one says the same as none; without this each name ever seen would stay. */
    private void prune() {
        if (virtualFinishes.size() < pruneThreshold) {
            return;
        }
        virtualFinishes.values().removeIf(finish -> finish <= virtualTime);
        pruneThreshold = Math.max(MIN_PRUNE_SIZE, 2 * virtualFinishes.size());
    }
}
