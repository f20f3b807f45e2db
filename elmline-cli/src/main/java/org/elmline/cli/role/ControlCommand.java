package org.elmline.cli.role;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The commands of a control host. */
@Command(
        name = "control",
        description = "Runs a control host, or looks into its data folder.",
        subcommands = {ControlRunCommand.class, ControlBootstrapCommand.class, ControlInspectCommand.class})
final class ControlCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name one of the subcommands");
    }
}
