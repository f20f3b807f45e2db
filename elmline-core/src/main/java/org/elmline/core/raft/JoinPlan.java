package org.elmline.core.raft;

import java.util.Optional;

/**
 * The next step by which a replica with a fresh data folder comes to vote, and the lost one of the same host goes.
 *
 * <p>The new one first catches up as a learner; only then the old one goes and the new one is promoted. In any other
 * order the log would stand longer with a voter that is lost or empty, and the loss of a second host would stop it.
 */
public final class JoinPlan {
    private JoinPlan() {}

    /** Empty when nothing is to be done now. */
    public static Optional<MembershipChange> next(Membership now, ReplicaId joining, boolean caughtUp) {
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
            if (replaced && now.voters().size() > 1) {
                return Optional.of(new MembershipChange.Remove(each));
            }
        }
        return Optional.of(new MembershipChange.Promote(joining));
    }
}
