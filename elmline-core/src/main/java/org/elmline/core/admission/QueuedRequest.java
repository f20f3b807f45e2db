package org.elmline.core.admission;

import java.util.Comparator;

import org.elmline.core.common.LengthClass;
import org.elmline.core.route.PlaceRequest;

/**
 * A request that has not been placed yet.
 *
 * @param weight weight of its organisation
 * @param costTokens prompt work, see {@link org.elmline.core.placement.PrefillCost}
 * @param chargedTokens what its organisation was charged
 * @param virtualStart its virtual start, see {@link org.elmline.core.fairness.VirtualCounters}
 * @param arrivalOrder order of arrival at this owner
 */
public record QueuedRequest(
        PlaceRequest request,
        int weight,
        long costTokens,
        long chargedTokens,
        double virtualStart,
        long deadlineNanos,
        long arrivalOrder) {
    /** Most urgent priority first; then the organisation that had least; then the earliest deadline. */
    static final Comparator<QueuedRequest> PLACEMENT_ORDER = Comparator.comparingInt(QueuedRequest::priority)
            .thenComparingDouble(QueuedRequest::virtualStart)
            .thenComparingLong(QueuedRequest::deadlineNanos)
            .thenComparingLong(QueuedRequest::arrivalOrder);

    public int priority() {
        return request.demand().priority();
    }

    public LengthClass lengthClass() {
        return request.demand().lengthClass();
    }

    /** Milliseconds left until its deadline; negative once it is past. */
    public long remainingMillis(long now) {
        return (deadlineNanos - now) / 1_000_000L;
    }
}
