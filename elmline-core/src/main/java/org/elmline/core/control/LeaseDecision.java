package org.elmline.core.control;

/** A leader's decision on a renewal. */
public sealed interface LeaseDecision {
    /** Send this answer now. */
    record Answer(LeaseAnswer answer) implements LeaseDecision {}

    /** The membership changes: propose this command, and decide the renewal again once it is applied. */
    record Join(Command.JoinHost command) implements LeaseDecision {}
}
