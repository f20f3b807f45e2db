package org.elmline.core.fairness;

import org.elmline.core.common.OrganisationId;

/**
 * An entry's share of an organisation's limits, leased from the time at which the entry sent its request.
 *
 * @param maxRequests requests in flight; may be 0
 * @param maxTokensPerMinute tokens per minute; may be 0
 */
public record ShareAnswer(OrganisationId organisation, int maxRequests, long maxTokensPerMinute, long leaseMillis) {}
