package org.elmline.core.control;

import org.elmline.core.common.TicketNumber;

/**
 * Query for decided tickets, the highest number first.
 *
 * @param below list only lower numbers; null to start with the highest
 */
public record TicketListQuery(TicketNumber below, int limit) {}
