package org.elmline.core.raft;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * The next step by which a replica with a fresh data folder comes to vote, and the lost one of the same host goes.
 *
 * <p>The new one first catches up as a learner; only then the old one goes and the new one is promoted. In any other
 * order the log would stand longer with a voter that is lost or empty, and the loss of a second host would stop it.
 */
public final class JoinPlanner {
    private JoinPlanner() {}

    /** Empty when nothing is to be done now; voters of other hosts stay. */
    public static Optional<MembershipChange> nextChange(Membership now, ReplicaId joining, boolean caughtUp) {
        return nextChange(now, joining, caughtUp, each -> false);
    }

    /**
     * Empty when nothing is to be done now.
     *
     * @param lost whether a voter of another host is taken for lost for good; such a one makes room for the new one
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
            boolean gone = now.isVoter(each) && lost.test(each);
            if ((replaced || gone) && now.voters().size() > 1) {
                return Optional.of(new MembershipChange.Remove(each));
            }
        }
        return Optional.of(new MembershipChange.Promote(joining));
    }

    /**
     * Takes a voter that is lost out of an even number of voters: one fewer has the same majority less one, so the next
     * loss is borne that was not before.
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
