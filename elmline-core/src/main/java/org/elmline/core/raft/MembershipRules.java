package org.elmline.core.raft;

/** Checks whether a membership change may start now. */
final class MembershipRules {
    private MembershipRules() {}

    /**
     * Returns why the change may not start, or null if it may.
     *
     * @param matchIndex index up to which the log of the changed replica is known to match the leader's
     */
    static ProposeRefusal refusal(RaftLog log, long term, MembershipChange change, long matchIndex) {
        // Two changes in progress at once could have majorities without a common replica.
        if (log.membershipIndex() > log.committedIndex()) {
            return ProposeRefusal.CHANGE_IN_PROGRESS;
        }
        // A change by an earlier leader may be replicated only in part; a commit in the own term settles it (Ongaro,
        // raft-dev, July 2015).
        if (log.termAt(log.committedIndex()) != term) {
            return ProposeRefusal.START_OF_TERM_PENDING;
        }
        Membership before = log.membership();
        Membership after = change.applyTo(before);
        if (change instanceof MembershipChange.AddLearner && after.equals(before)) {
            return ProposeRefusal.ALREADY_MEMBER;
        }
        if (after.equals(before)) {
            return ProposeRefusal.UNKNOWN_REPLICA;
        }
        if (after.voters().isEmpty()) {
            return ProposeRefusal.LAST_VOTER;
        }
        // A voter that lacks committed entries is counted in the majority but cannot help to form one until it has
        // caught up: the next loss of a replica would stop the log although the number of voters looks sufficient.
        if (change instanceof MembershipChange.Promote && matchIndex < log.committedIndex()) {
            return ProposeRefusal.NOT_CAUGHT_UP;
        }
        return null;
    }
}
