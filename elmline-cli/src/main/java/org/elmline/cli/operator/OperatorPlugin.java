package org.elmline.cli.operator;

import java.util.List;

import org.elmline.cli.CommandPlugin;

/** Registers {@code ticket}, {@code status}, {@code timeline} and {@code quarantine}. */
public final class OperatorPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new TicketCommand(), new StatusCommand(), new TimelineCommand(), new QuarantineCommand());
    }
}
