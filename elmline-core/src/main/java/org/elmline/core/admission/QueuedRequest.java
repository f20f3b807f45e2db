package org.elmline.core.admission;

import java.util.Comparator;

import org.elmline.core.common.LengthClass;
import org.elmline.core.route.PlaceRequest;

/**
 * A request that has not been placed yet. Immutable.
 *
 * @param weight weight of its organisation
 * @param costTokens prefill cost, see {@link org.elmline.core.placement.PrefillCost}
 * @param chargedTokens tokens that its organisation was charged
 * @param virtualStart virtual start time, see {@link org.elmline.core.fairness.VirtualCounters}
 * @param deadlineNanos deadline on the monotonic clock
 * @param arrivalOrder sequence number of arrival at this owner
 */
public record QueuedRequest(
        PlaceRequest request,
        int weight,
        long costTokens,
        long chargedTokens,
        double virtualStart,
        long deadlineNanos,
        long arrivalOrder) {
    /** Most urgent priority first; then the least virtual start; then the earliest deadline; then the first arrival. */
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

    /** Milliseconds until the deadline; negative once it has passed. */
    public long remainingMillis(long now) {
        return (deadlineNanos - now) / 1_000_000L;
    }
}
