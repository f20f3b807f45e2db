package org.elmline.daemon.operator;

import java.util.List;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.control.TicketOutcome;
import org.elmline.core.control.TicketStatus;
import org.elmline.daemon.http.ErrorBody;

/**
 * A ticket in the form sent to operators.
 *
 * @param version configuration version that contains the ticket; null when refused
 * @param inForce whether every entry that may admit work applies it
 * @param outstanding entries that may not apply it yet
 * @param settling whether the control leader is too new to have determined {@code inForce}
 * @param error why it was refused; null when accepted
 */
public record TicketView(
        TicketNumber number,
        String author,
        String digest,
        boolean accepted,
        ConfigVersion version,
        boolean inForce,
        List<HostId> outstanding,
        boolean settling,
        ErrorBody.Detail error) {
    static TicketView of(TicketStatus status) {
        ConfigVersion version = status.outcome() instanceof TicketOutcome.Accepted accepted ? accepted.version() : null;
        ErrorBody.Detail error = status.outcome() instanceof TicketOutcome.Refused refused
                ? ErrorBody.of(Refusal.didNotRun(refused.reason(), refused.message()))
                        .error()
                : null;
        return new TicketView(
                status.number(),
                status.author(),
                status.digest(),
                version != null,
                version,
                status.inForce(),
                status.outstanding(),
                status.settling(),
                error);
    }
}
