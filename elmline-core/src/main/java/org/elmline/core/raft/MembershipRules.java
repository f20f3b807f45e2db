package org.elmline.core.raft;

/** Decides whether a membership change may start now. */
final class MembershipRules {
    private MembershipRules() {}

    /** Null when it may. */
    static ProposeRefusal refusal(RaftLog log, long term, MembershipChange change, long match) {
        // Two changes under way at once could have majorities without a common replica.
        if (log.membershipIndex() > log.committedIndex()) {
            return ProposeRefusal.CHANGE_IN_PROGRESS;
        }
        // A change of an earlier leader may be half replicated; an own commit settles it (Ongaro, raft-dev, July 2015).
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
        // A voter that lacks committed entries counts in the majority and can't serve as one of it: the next loss of
        // a replica would stop the log, though enough replicas seem to be there.
        if (change instanceof MembershipChange.Promote && match < log.committedIndex()) {
            return ProposeRefusal.NOT_CAUGHT_UP;
        }
        return null;
    }
}
