package org.elmline.core.control;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * A change of {@link ControlState} that goes through the replicated log. The leader writes all inputs into it, wall
 * clock and digests included, so that every replica computes the same result.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface Command {
    /**
     * Decides a ticket. The digest is computed by the leader, so that replicas of two releases never compare digests
     * computed in two ways.
     */
    @JsonTypeName("apply-ticket")
    record ApplyTicket(Ticket ticket, String digest) implements Command {
        public static ApplyTicket of(Ticket ticket) {
            return new ApplyTicket(ticket, TicketDigest.of(ticket));
        }
    }

    /** Sets the record of a live host: a first join, a later incarnation, a return, or its leaving flag. */
    @JsonTypeName("join-host")
    record JoinHost(HostRecord host) implements Command {}

    /**
     * Ends a membership whose lease has expired.
     *
     * @param joinedAt members version of the membership to end; a host that has joined again since is left unchanged
     */
    @JsonTypeName("end-host")
    record EndHost(HostId host, Incarnation incarnation, long joinedAt) implements Command {}

    /** Begins several claims, each decided separately, in order. */
    @JsonTypeName("begin-claims")
    record BeginClaims(long wallMillis, List<ClaimBegin> claims) implements Command {
        public BeginClaims {
            claims = List.copyOf(claims);
        }
    }

    /** Finishes several claims, each decided separately, in order. */
    @JsonTypeName("finish-claims")
    record FinishClaims(long wallMillis, List<ClaimFinish> claims) implements Command {
        public FinishClaims {
            claims = List.copyOf(claims);
        }
    }

    /** Advances the replicated time and drops the claims whose keys have expired by it. */
    @JsonTypeName("expire-claims")
    record ExpireClaims(long wallMillis) implements Command {}

    /**
     * First command of every leader: takes the next fencing number and sets the limits that all replicas apply.
     *
     * @param term the leader's term; the fencing number is at least this
     */
    @JsonTypeName("start-leadership")
    record StartLeadership(HostId leader, long term, ControlLimits limits) implements Command {}

    /**
     * Starts or ends the evacuation of a failure domain, unless the failure domain was changed since it was read.
     *
     * @param expectedChange number of the failure domain's latest change when it was read, 0 for none
     * @param wallMillis the leader's wall clock, for people only
     * @param acceptedBy the control host that received the order
     */
    @JsonTypeName("set-evacuation")
    record SetEvacuation(
            FailureDomain domain, boolean evacuated, long expectedChange, long wallMillis, HostId acceptedBy)
            implements Command {
        public SetEvacuation {
            if (domain == null) {
                throw new IllegalArgumentException("a change of an evacuation needs its failure domain");
            }
        }
    }
}
