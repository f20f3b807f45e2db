package org.elmline.daemon.entry;

import java.util.Optional;

import org.elmline.core.common.Address;
import org.elmline.core.control.ClaimAnswer;
import org.elmline.core.control.LeaseAnswer;
import org.elmline.core.control.TicketAnswer;

/** Whether an answer sends the asker to another control host. */
@FunctionalInterface
interface LeaderHint<R> {
    LeaderHint<LeaseAnswer> OF_LEASE =
            answer -> answer instanceof LeaseAnswer.NotLeader not ? Redirect.to(not.leader()) : Redirect.NONE;
    LeaderHint<TicketAnswer> OF_TICKET =
            answer -> answer instanceof TicketAnswer.NotLeader not ? Redirect.to(not.leader()) : Redirect.NONE;
    LeaderHint<ClaimAnswer> OF_CLAIM =
            answer -> answer instanceof ClaimAnswer.NotLeader not ? Redirect.to(not.leader()) : Redirect.NONE;

    Redirect redirect(R answer);

    /** For answers that any control host gives. */
    static <R> LeaderHint<R> none() {
        return answer -> Redirect.NONE;
    }

    /**
     * Where to ask next.
     *
     * @param required whether the answer is no answer yet
     * @param leader the leader, empty when the asked host knows none
     */
    record Redirect(boolean required, Optional<Address> leader) {
        static final Redirect NONE = new Redirect(false, Optional.empty());

        static Redirect to(Address leader) {
            return new Redirect(true, Optional.ofNullable(leader));
        }
    }
}
