package org.elmline.core.fairness;

import org.elmline.core.common.OrganisationId;

/**
 * An entry's share of an organisation's limits, for a time counted from when it asked.
 *
 * @param maxRequests requests in flight; may be 0
 * @param maxTokensPerMinute tokens a minute; may be 0
 */
public record ShareAnswer(OrganisationId organisation, int maxRequests, long maxTokensPerMinute, long leaseMillis) {}
