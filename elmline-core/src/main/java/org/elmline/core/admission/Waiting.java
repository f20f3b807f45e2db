package org.elmline.core.admission;

import java.util.Comparator;

import org.elmline.core.common.LengthClass;
import org.elmline.core.route.PlaceRequest;

/**
 * A request that has not been placed yet.
 *
 * @param weight weight of its organisation
 * @param work prompt work, see {@link org.elmline.core.placement.PrefillCost}
 * @param tokens what its organisation was charged
 * @param start its virtual start, see {@link org.elmline.core.fairness.VirtualCounters}
 * @param arrival order of arrival at this owner
 */
public record Waiting(
        PlaceRequest request, int weight, long work, long tokens, double start, long deadline, long arrival) {
    /** Most urgent priority first; then the organisation that had least; then the earliest deadline. */
    static final Comparator<Waiting> ORDER = Comparator.comparingInt(Waiting::priority)
            .thenComparingDouble(Waiting::start)
            .thenComparingLong(Waiting::deadline)
            .thenComparingLong(Waiting::arrival);

    public int priority() {
        return request.demand().priority();
    }

    public LengthClass lengthClass() {
        return request.demand().lengthClass();
    }

    /** Milliseconds left until its deadline; negative once it is past. */
    public long remainingMillis(long now) {
        return (deadline - now) / 1_000_000L;
    }
}
