package org.elmline.cli.operator;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Shows hosts, leader, backend servers and load as the first host that answers reports them. */
@Command(name = "status", description = "Shows what the first host that answers knows of the deployment.")
final class StatusCommand implements ExitingCommand {
    private static final String PATH = "/v1/status";

    @Spec
    private CommandSpec spec;

    @Mixin
    private OperatorOptions operator;

    @Override
    public ExitCode execute() {
        return new AnswerPrinter(spec.commandLine()).print(operator.client().get(PATH));
    }
}
