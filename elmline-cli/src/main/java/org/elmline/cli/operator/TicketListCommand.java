package org.elmline.cli.operator;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Lists tickets, the highest number first. */
@Command(name = "list", description = "Lists tickets, the highest number first.")
final class TicketListCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Mixin
    private OperatorOptions operator;

    @Override
    public ExitCode execute() {
        return new AnswerPrinter(spec.commandLine()).print(operator.client().get(TicketPaths.ALL));
    }
}
