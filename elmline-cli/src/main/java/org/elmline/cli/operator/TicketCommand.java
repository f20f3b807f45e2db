package org.elmline.cli.operator;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Groups the commands on change tickets. */
@Command(
        name = "ticket",
        description = "Sends and shows change tickets.",
        subcommands = {TicketApplyCommand.class, TicketShowCommand.class, TicketListCommand.class})
final class TicketCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name a subcommand");
    }
}
