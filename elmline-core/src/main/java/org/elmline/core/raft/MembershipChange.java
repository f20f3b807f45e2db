package org.elmline.core.raft;

/**
 * A single change of the membership. It adds or removes at most one voter, so that majorities before and after it share
 * a replica (Raft thesis, section 4.1); replacing a replica takes several changes.
 */
public sealed interface MembershipChange {
    ReplicaId replica();

    /** The membership after this change; equal to {@code before} when it has no effect. */
    Membership applyTo(Membership before);

    /** Adds a learner, which receives the log but does not vote. */
    record AddLearner(ReplicaId replica) implements MembershipChange {
        @Override
        public Membership applyTo(Membership before) {
            return before.contains(replica) ? before : before.with(replica, false);
        }
    }

    /** Makes a learner a voter; refused while the learner lacks committed entries. */
    record Promote(ReplicaId replica) implements MembershipChange {
        @Override
        public Membership applyTo(Membership before) {
            return before.isLearner(replica) ? before.with(replica, true) : before;
        }
    }

    /** Removes a voter or learner. */
    record Remove(ReplicaId replica) implements MembershipChange {
        @Override
        public Membership applyTo(Membership before) {
            return before.without(replica);
        }
    }
}
