package org.elmline.cli.operator;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Starts the evacuation of a failure domain. */
@Command(name = "start", description = "Starts the evacuation of a failure domain.")
final class EvacuationStartCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Mixin
    private EvacuationOptions options;

    @Parameters(paramLabel = "DOMAIN", description = "the failure domain")
    private String domain;

    @Override
    public ExitCode execute() {
        return new AnswerPrinter(spec.commandLine()).print(options.client().post(EvacuationOptions.pathOf(domain)));
    }
}
