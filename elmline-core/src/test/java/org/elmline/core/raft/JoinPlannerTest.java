package org.elmline.core.raft;

import java.util.List;
import java.util.Optional;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Replacement of lost voters by hosts that join. */
class JoinPlannerTest {
    private static final ReplicaId A = replica("a", 0);
    private static final ReplicaId B = replica("b", 0);
    private static final ReplicaId C = replica("c", 0);
    private static final ReplicaId NEW = replica("d", 7);
    private static final Membership THREE = Membership.ofVoters(List.of(A, B, C));

    private static ReplicaId replica(String host, long incarnation) {
        return new ReplicaId(HostId.of(host), incarnation);
    }

    /**
     * A control host is lost for good and another joins at a new address. If the lost one stayed a voter, no ticket
     * could be decided after the next loss. The lost one is removed once the new one holds the log, never before.
     */
    @Test
    void removesLostVoterOnceNewReplicaHasCaughtUp() {
        assertEquals(
                Optional.of(new MembershipChange.AddLearner(NEW)),
                JoinPlanner.nextChange(THREE, NEW, false, each -> each.equals(C)));
        Membership learning = THREE.with(NEW, false);
        assertTrue(JoinPlanner.nextChange(learning, NEW, false, each -> each.equals(C))
                .isEmpty());
        assertEquals(
                Optional.of(new MembershipChange.Remove(C)),
                JoinPlanner.nextChange(learning, NEW, true, each -> each.equals(C)));
        assertEquals(
                Optional.of(new MembershipChange.Promote(NEW)),
                JoinPlanner.nextChange(learning.without(C), NEW, true, each -> each.equals(C)));
    }

    @Test
    void joiningReplicaRemovesNoVoterThatIsNotLost() {
        assertEquals(
                Optional.of(new MembershipChange.Promote(NEW)),
                JoinPlanner.nextChange(THREE.with(NEW, false), NEW, true, each -> false));
    }

    /**
     * Among an even number of voters, a lost one raises the majority by one and is removed; among an odd number it
     * stays, as it may return.
     */
    @Test
    void removesLostVoterOnlyFromEvenNumberOfVoters() {
        Membership four = THREE.with(NEW, true);
        assertEquals(
                Optional.of(new MembershipChange.Remove(B)), JoinPlanner.removeLostVoter(four, each -> each.equals(B)));
        assertTrue(JoinPlanner.removeLostVoter(four, each -> false).isEmpty());
        assertTrue(JoinPlanner.removeLostVoter(THREE, each -> each.equals(B)).isEmpty());
    }
}
