package org.elmline.core.fairness;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;

/**
 * An entry's request for a share of an organisation's limits.
 *
 * @param inFlight requests in flight now; the share is at least this, as far as the other shares leave it
 * @param requests requests in flight that the entry could use, including those it has just refused
 * @param tokensPerMinute tokens per minute that the entry could use
 */
public record ShareRequest(
        HostId host,
        Incarnation incarnation,
        OrganisationId organisation,
        int inFlight,
        int requests,
        long tokensPerMinute) {}
