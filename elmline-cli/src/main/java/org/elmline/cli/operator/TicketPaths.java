package org.elmline.cli.operator;

import org.elmline.core.common.TicketNumber;

/** Paths of tickets on an operator port. */
final class TicketPaths {
    static final String ALL = "/v1/tickets";

    private TicketPaths() {}

    static String of(TicketNumber number) {
        return ALL + "/" + number;
    }
}
