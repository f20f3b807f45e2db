package org.elmline.daemon.entry;

import java.util.Optional;

import org.elmline.core.common.Address;
import org.elmline.core.control.ClaimAnswer;
import org.elmline.core.control.LeaseAnswer;
import org.elmline.core.control.TicketAnswer;

/** Decides whether an answer redirects the caller to another control host. */
@FunctionalInterface
interface LeaderHint<R> {
    LeaderHint<LeaseAnswer> OF_LEASE = answer ->
            answer instanceof LeaseAnswer.NotLeader notLeader ? Redirect.to(notLeader.leader()) : Redirect.NONE;
    LeaderHint<TicketAnswer> OF_TICKET = answer ->
            answer instanceof TicketAnswer.NotLeader notLeader ? Redirect.to(notLeader.leader()) : Redirect.NONE;
    LeaderHint<ClaimAnswer> OF_CLAIM = answer ->
            answer instanceof ClaimAnswer.NotLeader notLeader ? Redirect.to(notLeader.leader()) : Redirect.NONE;

    Redirect redirect(R answer);

    /** Returns the hint for answers that any control host gives. */
    static <R> LeaderHint<R> none() {
        return answer -> Redirect.NONE;
    }

    /**
     * Redirect to another control host.
     *
     * @param required whether the call must be repeated at another control host
     * @param leader the leader, empty when the answer names none
     */
    record Redirect(boolean required, Optional<Address> leader) {
        static final Redirect NONE = new Redirect(false, Optional.empty());

        static Redirect to(Address leader) {
            return new Redirect(true, Optional.ofNullable(leader));
        }
    }
}
