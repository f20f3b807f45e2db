package org.elmline.core.route;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.placement.Demand;

/**
 * Sent by an entry to an owner to place one attempt. Idempotent: a repeated request for the same attempt returns the
 * same grant, so a lost answer reserves nothing twice.
 *
 * @param host host whose entry sends the request and will run the attempt
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

    /** Requests placement of a whole prompt. */
    public PlaceRequest(
            AttemptId attempt, HostId host, Incarnation incarnation, OrganisationId organisation, Demand demand) {
        this(attempt, host, incarnation, organisation, demand, PlaceMode.WHOLE, 0);
    }
}
