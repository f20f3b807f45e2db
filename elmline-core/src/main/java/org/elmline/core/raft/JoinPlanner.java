package org.elmline.core.raft;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Plans the membership changes that make a replica with an empty data folder a voter and remove the lost replica of the
 * same host.
 *
 * <p>The new replica first catches up as a learner; only then the lost one is removed and the new one promoted. Any
 * other order would leave the cluster longer with a lost or empty voter, and the loss of a second host would stop the
 * log.
 */
public final class JoinPlanner {
    private JoinPlanner() {}

    /** Returns the next change, or empty when none is due now. Voters of other hosts are never removed. */
    public static Optional<MembershipChange> nextChange(Membership current, ReplicaId joining, boolean caughtUp) {
        return nextChange(current, joining, caughtUp, each -> false);
    }

    /**
     * Returns the next change, or empty when none is due now.
     *
     * @param caughtUp whether the joining replica holds all committed entries
     * @param lost whether a voter, also of another host, is considered permanently lost; such a voter is removed in
     *     favour of the joining replica
     */
    public static Optional<MembershipChange> nextChange(
            Membership current, ReplicaId joining, boolean caughtUp, Predicate<ReplicaId> lost) {
        if (current.isVoter(joining)) {
            return Optional.empty();
        }
        if (!current.contains(joining)) {
            return Optional.of(new MembershipChange.AddLearner(joining));
        }
        if (!caughtUp) {
            return Optional.empty();
        }
        for (ReplicaId each : current.all()) {
            boolean replaced = each.host().equals(joining.host()) && !each.equals(joining);
            boolean lostVoter = current.isVoter(each) && lost.test(each);
            if ((replaced || lostVoter) && current.voters().size() > 1) {
                return Optional.of(new MembershipChange.Remove(each));
            }
        }
        return Optional.of(new MembershipChange.Promote(joining));
    }

    /**
     * Removes a lost voter when the number of voters is even: the majority of one voter fewer is smaller by one, so
     * that the cluster tolerates one more loss than before.
     */
    public static Optional<MembershipChange> removeLostVoter(Membership current, Predicate<ReplicaId> lost) {
        if (current.voters().size() % 2 != 0) {
            return Optional.empty();
        }
        for (ReplicaId each : current.voters()) {
            if (lost.test(each)) {
                return Optional.of(new MembershipChange.Remove(each));
            }
        }
        return Optional.empty();
    }
}
