package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.evacuation.Evacuations;

/**
 * A complete copy of a {@link ControlState} after one log index.
 *
 * @param index last log index applied
 * @param ticketFloor highest ticket number whose record was dropped, null when none was
 * @param membersFloor lowest members version from which changes, ends included, can still be listed
 * @param timeMillis replicated time: the greatest wall clock of any command, in milliseconds since 1970
 * @param claimFloorMillis keys issued before this time, in milliseconds since 1970, have expired permanently
 * @param evacuations null when no failure domain was ever evacuated, and in a snapshot of an earlier release
 */
public record ControlSnapshot(
        long index,
        ControlLimits limits,
        FencingNumber fencing,
        ConfigVersion version,
        List<VersionedObject> objects,
        List<TicketRecord> tickets,
        TicketNumber ticketFloor,
        long membersVersion,
        long membersFloor,
        List<Member> members,
        List<EndedHost> ended,
        long timeMillis,
        long claimFloorMillis,
        List<Claim> claims,
        Evacuations evacuations) {
    public ControlSnapshot {
        objects = List.copyOf(objects);
        tickets = List.copyOf(tickets);
        members = List.copyOf(members);
        ended = List.copyOf(ended);
        claims = List.copyOf(claims);
    }
}
