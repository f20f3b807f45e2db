package org.elmline.core.route;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.placement.Demand;

/**
 * An entry asks an owner to place one attempt. Asking again for the same attempt brings the same grant, so a lost answer
 * reserves nothing twice.
 *
 * @param host host whose entry asks and will run the attempt
 * @param contextTokens tokens before a segment that the engine attends to through imports; 0 for a whole prompt
 */
public record PlaceRequest(
        AttemptId attempt,
        HostId host,
        Incarnation incarnation,
        OrganisationId organisation,
        Demand demand,
        PlaceMode mode,
        int contextTokens) {
    public PlaceRequest {
        mode = mode == null ? PlaceMode.WHOLE : mode;
    }

    /** Asks for a whole prompt's place. */
    public PlaceRequest(
            AttemptId attempt, HostId host, Incarnation incarnation, OrganisationId organisation, Demand demand) {
        this(attempt, host, incarnation, organisation, demand, PlaceMode.WHOLE, 0);
    }
}
