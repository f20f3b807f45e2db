package org.elmline.core.fairness;

import java.util.HashMap;
import java.util.Map;

import org.elmline.core.common.OrganisationId;

/**
 * Start-time fair queueing (Goyal, Vin, Cheng, 1996) with one virtual token counter per organisation and the tokens of
 * a request as its length. A request's virtual start is the larger of its organisation's counter and the start of the
 * request served last, so an idle organisation gains no credit; the counter then grows by tokens divided by weight. If
 * requests are served in order of virtual start, the tokens per weight of any two organisations with queued requests
 * differ by at most one longest request of each, divided by its weight. Not thread-safe.
 */
public final class VirtualCounters {
    private static final int MIN_PRUNE_SIZE = 256;

    private final Map<OrganisationId, Double> virtualFinishes = new HashMap<>();
    private double virtualTime;
    private int pruneThreshold = MIN_PRUNE_SIZE;

    /** Charges a request to its organisation and returns its virtual start. */
    public double charge(OrganisationId organisation, int weight, long tokens) {
        double start = Math.max(virtualTime, virtualFinishes.getOrDefault(organisation, virtualTime));
        virtualFinishes.put(organisation, start + (double) tokens / weight);
        prune();
        return start;
    }

    /** Refunds the charge of a request that was never served. */
    public void refund(OrganisationId organisation, int weight, long tokens) {
        virtualFinishes.computeIfPresent(organisation, (id, finish) -> finish - (double) tokens / weight);
    }

    /** Records that a request with this virtual start begins to be served. */
    public void recordServed(double start) {
        virtualTime = Math.max(virtualTime, start);
    }

    /**
     * Clears all counters. For use when no request is queued: every organisation was served in full, so none has a
     * debt.
     */
    public void reset() {
        virtualFinishes.clear();
        virtualTime = 0;
    }

    int size() {
        return virtualFinishes.size();
    }

    /**
     * Removes counters at or below the virtual time, which are equivalent to no counter. Without this, the map would
     * keep every organisation ever seen.
     */
    private void prune() {
        if (virtualFinishes.size() < pruneThreshold) {
            return;
        }
        virtualFinishes.values().removeIf(finish -> finish <= virtualTime);
        pruneThreshold = Math.max(MIN_PRUNE_SIZE, 2 * virtualFinishes.size());
    }
}
