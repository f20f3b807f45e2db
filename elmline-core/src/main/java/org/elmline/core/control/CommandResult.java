package org.elmline.core.control;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.Incarnation;

/** The result of applying a {@link Command}; the same on every replica. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface CommandResult {
    /** The decision on an {@link Command.ApplyTicket}. */
    @JsonTypeName("ticket-decided")
    record TicketDecided(TicketOutcome outcome) implements CommandResult {}

    /** The host is a member as of this members version. */
    @JsonTypeName("host-joined")
    record HostJoined(long membersVersion) implements CommandResult {}

    /**
     * Another process has the host's id: one of a later incarnation, or one of the same incarnation at another address.
     */
    @JsonTypeName("host-replaced")
    record HostReplaced(Incarnation by) implements CommandResult {}

    /** Whether a membership ended; false when the one named by the command was over already. */
    @JsonTypeName("host-ended")
    record HostEnded(boolean changed) implements CommandResult {}

    /** One outcome for each claim of the batch, in its order. */
    @JsonTypeName("claims-decided")
    record ClaimsDecided(List<ClaimOutcome> outcomes) implements CommandResult {
        public ClaimsDecided {
            outcomes = List.copyOf(outcomes);
        }
    }

    /** How many claims were dropped. */
    @JsonTypeName("claims-expired")
    record ClaimsExpired(int dropped) implements CommandResult {}

    /** The fencing number of the new leader. */
    @JsonTypeName("leadership-started")
    record LeadershipStarted(FencingNumber fencing) implements CommandResult {}

    /**
     * The decision on a {@link Command.SetEvacuation}.
     *
     * @param changed whether the command changed the failure domain
     * @param evacuated whether the failure domain is evacuated now
     * @param change number of the failure domain's latest change, 0 for none
     */
    @JsonTypeName("evacuation-decided")
    record EvacuationDecided(boolean changed, boolean evacuated, long change) implements CommandResult {}
}
