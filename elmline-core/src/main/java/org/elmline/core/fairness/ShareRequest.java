package org.elmline.core.fairness;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;

/**
 * An entry asks for its share of an organisation's limits.
 *
 * @param inFlight requests in flight now; its share is never less
 * @param requests requests in flight that it could use, those it just refused included
 * @param tokensPerMinute tokens a minute that it could use
 */
public record ShareRequest(
        HostId host,
        Incarnation incarnation,
        OrganisationId organisation,
        int inFlight,
        int requests,
        long tokensPerMinute) {}
