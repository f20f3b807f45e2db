package org.elmline.core.raft;

/**
 * One step from a membership to the next. Each moves at most one voter, so that majorities before and after it share a
 * replica (Raft thesis, section 4.1); a replacement is a sequence of them.
 */
public sealed interface MembershipChange {
    ReplicaId replica();

    /** The membership after this change; the same when it changes nothing. */
    Membership applyTo(Membership before);

    /** Starts to send the log to a replica that decides nothing yet. */
    record AddLearner(ReplicaId replica) implements MembershipChange {
        @Override
        public Membership applyTo(Membership before) {
            return before.contains(replica) ? before : before.with(replica, false);
        }
    }

    /** Makes a learner that holds the log a voter. */
    record Promote(ReplicaId replica) implements MembershipChange {
        @Override
        public Membership applyTo(Membership before) {
            return before.isLearner(replica) ? before.with(replica, true) : before;
        }
    }

    /** Takes a voter or learner out. */
    record Remove(ReplicaId replica) implements MembershipChange {
        @Override
        public Membership applyTo(Membership before) {
            return before.without(replica);
        }
    }
}
