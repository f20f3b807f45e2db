package org.elmline.core.control;

/** What a leader does with a renewal. */
public sealed interface LeaseDecision {
    /** Answer now. */
    record Answer(LeaseAnswer answer) implements LeaseDecision {}

    /** The membership changes: propose this, and ask again once it is applied. */
    record Join(Command.JoinHost command) implements LeaseDecision {}
}
