package org.elmline.cli.operator;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Groups the commands on evacuated failure domains. */
@Command(
        name = "evacuation",
        description = "Shows, starts or ends evacuations of failure domains: no new calls are sent to their servers.",
        subcommands = {EvacuationShowCommand.class, EvacuationStartCommand.class, EvacuationEndCommand.class})
final class EvacuationCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name a subcommand");
    }
}
