package org.elmline.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.OrganisationId;

/**
 * The queued requests of one model at one owner. Each pair of length class and adapter has its own queue, so a long
 * prompt that does not fit into memory does not block short ones, nor a rare adapter the others. Bounded: adding to a
 * full queue sheds one request. Not thread-safe.
 */
public final class AdmissionQueue {
    private final int capacity;
    private final Map<QueueKey, TreeSet<QueuedRequest>> queuesByKey = new HashMap<>();
    private final Map<AttemptId, QueuedRequest> byAttempt = new HashMap<>();
    private final Map<OrganisationId, Integer> countByOrganisation = new HashMap<>();
    private final Map<OrganisationId, Integer> weights = new HashMap<>();

    public AdmissionQueue(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a request. If the queue was full, returns the request that was shed, which may be the added one. */
    public Optional<QueuedRequest> add(QueuedRequest waiting) {
        queuesByKey
                .computeIfAbsent(QueueKey.of(waiting), key -> new TreeSet<>(QueuedRequest.PLACEMENT_ORDER))
                .add(waiting);
        byAttempt.put(waiting.request().attempt(), waiting);
        countByOrganisation.merge(waiting.request().organisation(), 1, Integer::sum);
        weights.put(waiting.request().organisation(), waiting.weight());
        if (byAttempt.size() <= capacity) {
            return Optional.empty();
        }
        QueuedRequest shed = selectToShed();
        remove(shed);
        return Optional.of(shed);
    }

    public void remove(QueuedRequest waiting) {
        if (byAttempt.remove(waiting.request().attempt()) == null) {
            return;
        }
        TreeSet<QueuedRequest> queue = queuesByKey.get(QueueKey.of(waiting));
        queue.remove(waiting);
        if (queue.isEmpty()) {
            queuesByKey.remove(QueueKey.of(waiting));
        }
        OrganisationId organisation = waiting.request().organisation();
        if (countByOrganisation.merge(organisation, -1, Integer::sum) == 0) {
            countByOrganisation.remove(organisation);
            weights.remove(organisation);
        }
    }

    public Optional<QueuedRequest> find(AttemptId attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    /** The request to place next, from the queues that are not blocked. */
    public Optional<QueuedRequest> next(Set<QueueKey> blocked) {
        QueuedRequest best = null;
        for (Map.Entry<QueueKey, TreeSet<QueuedRequest>> each : queuesByKey.entrySet()) {
            QueuedRequest head = each.getValue().first();
            if (blocked.contains(each.getKey())) {
                continue;
            }
            if (best == null || QueuedRequest.PLACEMENT_ORDER.compare(head, best) < 0) {
                best = head;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Prefill cost of the requests ahead of this one in the queues of its own and of shorter length classes. */
    public long costTokensAhead(QueuedRequest waiting) {
        long costTokens = 0;
        for (Map.Entry<QueueKey, TreeSet<QueuedRequest>> each : queuesByKey.entrySet()) {
            if (each.getKey().lengthClass().compareTo(waiting.lengthClass()) > 0) {
                continue;
            }
            for (QueuedRequest ahead : each.getValue().headSet(waiting)) {
                costTokens += ahead.costTokens();
            }
        }
        return costTokens;
    }

    /** All requests, in placement order. */
    public List<QueuedRequest> inPlacementOrder() {
        List<QueuedRequest> all = new ArrayList<>(byAttempt.values());
        all.sort(QueuedRequest.PLACEMENT_ORDER);
        return all;
    }

    public int size() {
        return byAttempt.size();
    }

    /**
     * Selects the request with the lowest priority; among equals, one of an organisation that exceeds its weighted
     * share of the queue; then the one with the highest prefill cost; then the one with the latest virtual start; then
     * the newest. Without the share, an organisation that fills the queue with short prompts would displace the longer
     * prompts of all others.
     */
    private QueuedRequest selectToShed() {
        int totalWeight = weights.values().stream().mapToInt(Integer::intValue).sum();
        Comparator<QueuedRequest> order = Comparator.comparingInt(QueuedRequest::priority)
                .thenComparing(each -> exceedsShare(each, totalWeight))
                .thenComparingLong(QueuedRequest::costTokens)
                .thenComparingDouble(QueuedRequest::virtualStart)
                .thenComparingLong(QueuedRequest::arrivalOrder);
        return byAttempt.values().stream().max(order).orElseThrow();
    }

    private boolean exceedsShare(QueuedRequest waiting, int totalWeight) {
        long count = countByOrganisation.get(waiting.request().organisation());
        return count * totalWeight > (long) byAttempt.size() * waiting.weight();
    }

    /** Identifies a queue: its requests wait for the same kind of capacity. */
    public record QueueKey(LengthClass lengthClass, String adapter) {
        public static QueueKey of(QueuedRequest waiting) {
            String adapter = waiting.request().demand().adapter();
            return new QueueKey(waiting.lengthClass(), adapter == null ? "" : adapter);
        }
    }
}
