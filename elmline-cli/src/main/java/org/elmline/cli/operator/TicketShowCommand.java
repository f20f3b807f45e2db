package org.elmline.cli.operator;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.core.common.TicketNumber;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows one ticket: accepted or refused and why, and where it is in force. */
@Command(name = "show", description = "Shows a ticket: taken or refused and why, and where it is in force.")
final class TicketShowCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Mixin
    private OperatorOptions operator;

    @Parameters(paramLabel = "NUMBER", description = "the ticket's number")
    private long number;

    @Override
    public ExitCode execute() {
        if (number < 0) {
            throw new ParameterException(spec.commandLine(), "a ticket's number is not negative");
        }
        OperatorAnswer answer = operator.client().get(TicketPaths.of(TicketNumber.of(number)));
        return new AnswerPrinter(spec.commandLine()).print(answer);
    }
}
