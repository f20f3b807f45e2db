package org.elmline.core.control;

import org.elmline.core.common.TicketNumber;

/** Query for one ticket's status. */
public record TicketQuery(TicketNumber number) {}
