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
    public static Optional<MembershipChange> nextChange(Membership now, ReplicaId joining, boolean caughtUp) {
        return nextChange(now, joining, caughtUp, each -> false);
    }

    /**
     * Returns the next change, or empty when none is due now.
     *
     * @param caughtUp whether the joining replica holds all committed entries
     * @param lost whether a voter, also of another host, is considered permanently lost; such a voter is removed in
     *     favour of the joining replica
     */
    public static Optional<MembershipChange> nextChange(
            Membership now, ReplicaId joining, boolean caughtUp, Predicate<ReplicaId> lost) {
        if (now.isVoter(joining)) {
            return Optional.empty();
        }
        if (!now.contains(joining)) {
            return Optional.of(new MembershipChange.AddLearner(joining));
        }
        if (!caughtUp) {
            return Optional.empty();
        }
        for (ReplicaId each : now.all()) {
            boolean replaced = each.host().equals(joining.host()) && !each.equals(joining);
            boolean lostVoter = now.isVoter(each) && lost.test(each);
            if ((replaced || lostVoter) && now.voters().size() > 1) {
                return Optional.of(new MembershipChange.Remove(each));
            }
        }
        return Optional.of(new MembershipChange.Promote(joining));
    }

    /**
     * Removes a lost voter when the number of voters is even: the majority of one voter fewer is smaller by one, so
     * that the cluster tolerates one more loss than before.
     */
    public static Optional<MembershipChange> removeLostVoter(Membership now, Predicate<ReplicaId> lost) {
        if (now.voters().size() % 2 != 0) {
            return Optional.empty();
        }
        for (ReplicaId each : now.voters()) {
            if (lost.test(each)) {
                return Optional.of(new MembershipChange.Remove(each));
            }
        }
        return Optional.empty();
    }
}
