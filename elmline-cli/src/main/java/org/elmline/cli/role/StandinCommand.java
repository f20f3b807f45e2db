package org.elmline.cli.role;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The stand-ins for backend servers. */
@Command(
        name = "standin",
        description = "Runs a stand-in for a backend server, on loopback only.",
        subcommands = {StandinEngineCommand.class, StandinServiceCommand.class, StandinFaultCommand.class})
final class StandinCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name one of the subcommands");
    }
}
