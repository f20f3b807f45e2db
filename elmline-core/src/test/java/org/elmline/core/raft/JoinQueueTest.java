package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Replacement of several lost replicas by replicas that have requested to join. */
class JoinQueueTest {
    private static final long REQUEST_TTL_NANOS = 1_000;
    private static final Predicate<ReplicaId> NONE = each -> false;
    private static final Predicate<ReplicaId> ALL = each -> true;
    private static final ReplicaId A = replica("a", 0);
    private static final ReplicaId LOST_B = replica("b", 0);
    private static final ReplicaId LOST_C = replica("c", 0);
    private static final ReplicaId NEW_B = replica("b", 5);
    private static final ReplicaId NEW_C = replica("c", 6);

    private static ReplicaId replica(String host, long incarnation) {
        return new ReplicaId(HostId.of(host), incarnation);
    }

    /** Guards against a replacement that stops midway, leaving one voter fewer or one learner more. */
    @Test
    void twoLostReplicasAreReplacedStepByStep() {
        JoinQueue queue = new JoinQueue(REQUEST_TTL_NANOS);
        queue.addRequest(NEW_B, 0);
        queue.addRequest(NEW_C, 1);
        Membership now = Membership.ofVoters(List.of(A, LOST_B, LOST_C));
        List<Integer> voters = new ArrayList<>();
        Optional<MembershipChange> step = queue.nextChange(now, ALL, NONE, 10);
        while (step.isPresent()) {
            now = step.get().applyTo(now);
            voters.add(now.voters().size());
            step = queue.nextChange(now, ALL, NONE, 10);
        }
        assertEquals(List.of(3, 2, 3, 3, 2, 3), voters);
        assertEquals(Membership.ofVoters(List.of(A, NEW_B, NEW_C)), now);
    }

    /** Guards against a replica that cannot catch up and blocks the others. */
    @Test
    void replicaThatIsNotReadyDoesNotBlockOthers() {
        JoinQueue queue = new JoinQueue(REQUEST_TTL_NANOS);
        queue.addRequest(NEW_B, 0);
        queue.addRequest(NEW_C, 0);
        Membership learning = Membership.ofVoters(List.of(A, LOST_B, LOST_C)).with(NEW_B, false);
        assertEquals(Optional.of(new MembershipChange.AddLearner(NEW_C)), queue.nextChange(learning, NONE, NONE, 0));
    }

    /** Guards against promoting a replica that fails again before its first vote. */
    @Test
    void requestExpiresUnlessRepeated() {
        JoinQueue queue = new JoinQueue(REQUEST_TTL_NANOS);
        queue.addRequest(NEW_B, 0);
        Membership now = Membership.ofVoters(List.of(A, LOST_B, LOST_C));
        assertTrue(queue.nextChange(now, ALL, NONE, REQUEST_TTL_NANOS).isPresent());
        assertTrue(queue.nextChange(now, ALL, NONE, REQUEST_TTL_NANOS + 1).isEmpty());
    }
}
