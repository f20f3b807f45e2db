package org.elmline.core.raft;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Replicas that have requested to join, held by the leader. Their membership changes follow one another without further
 * requests from the replicas, because until a lost replica is replaced the next loss adds to it. Not thread-safe.
 */
public final class JoinQueue {
    private final long requestTtlNanos;
    private final Map<ReplicaId, Long> requestedAtNanos = new LinkedHashMap<>();

    /** @param requestTtlNanos time in nanoseconds after its latest request until a replica is dropped from the queue */
    public JoinQueue(long requestTtlNanos) {
        this.requestTtlNanos = requestTtlNanos;
    }

    /** Adds a request to join, or renews an earlier one. */
    public void addRequest(ReplicaId joining, long nowNanos) {
        requestedAtNanos.put(joining, nowNanos);
    }

    /**
     * Returns the next change that may be proposed, or empty when none is due now. Drops expired requests and those of
     * replicas that are voters now.
     *
     * @param ready whether a joining replica holds all committed entries and is in contact
     * @param lost whether a voter is considered permanently lost
     */
    public Optional<MembershipChange> nextChange(
            Membership current, Predicate<ReplicaId> ready, Predicate<ReplicaId> lost, long nowNanos) {
        Iterator<Map.Entry<ReplicaId, Long>> iterator =
                requestedAtNanos.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<ReplicaId, Long> request = iterator.next();
            ReplicaId joining = request.getKey();
            if (current.isVoter(joining) || nowNanos - request.getValue() > requestTtlNanos) {
                iterator.remove();
                continue;
            }
            Optional<MembershipChange> change = JoinPlanner.nextChange(current, joining, ready.test(joining), lost);
            if (change.isPresent()) {
                return change;
            }
        }
        return Optional.empty();
    }

    /** Removes all requests, as another replica is the leader now. */
    public void clear() {
        requestedAtNanos.clear();
    }
}
