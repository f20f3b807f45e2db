package org.elmline.core.raft;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Replicas that asked this leader to join. Their steps follow one another without a further question: as long as a lost
 * replica is not replaced, the next loss counts on top of it.
 */
public final class JoinQueue {
    private final long requestTtlNanos;
    private final Map<ReplicaId, Long> requestedAtNanos = new LinkedHashMap<>();

    /** @param keptNanos time after its last question for which a replica is taken to want to join */
    public JoinQueue(long keptNanos) {
        this.requestTtlNanos = keptNanos;
    }

    /** Takes a question. */
    public void addRequest(ReplicaId joining, long nowNanos) {
        requestedAtNanos.put(joining, nowNanos);
    }

    /**
     * The next step that may be proposed, empty when there is none now.
     *
     * @param ready whether a replica holds all that is committed and is heard
     * @param lost whether a voter is taken for lost for good
     */
    public Optional<MembershipChange> nextChange(
            Membership now, Predicate<ReplicaId> ready, Predicate<ReplicaId> lost, long nowNanos) {
        Iterator<Map.Entry<ReplicaId, Long>> each = requestedAtNanos.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<ReplicaId, Long> asked = each.next();
            ReplicaId joining = asked.getKey();
            if (now.isVoter(joining) || nowNanos - asked.getValue() > requestTtlNanos) {
                each.remove();
                continue;
            }
            Optional<MembershipChange> step = JoinPlanner.nextChange(now, joining, ready.test(joining), lost);
            if (step.isPresent()) {
                return step;
            }
        }
        return Optional.empty();
    }

    /** Forgets all; another replica leads. */
    public void clear() {
        requestedAtNanos.clear();
    }
}
