package org.elmline.cli.role;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.daemon.control.ControlDataFolder;
import org.elmline.daemon.settings.ControlSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Initialises the data folder of the first control host of a new deployment. */
@Command(
        name = "bootstrap",
        description = "Makes this host the first voter of a new deployment. Once, on one host, before its first run.")
final class ControlBootstrapCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "settings of the host, JSON")
    private Path file;

    @Override
    public ExitCode execute() {
        Optional<ControlSettings> settings = SettingsFile.read(
                file, ControlSettings.class, spec.commandLine().getErr());
        if (settings.isEmpty()) {
            return ExitCode.INVALID;
        }
        try {
            ControlDataFolder.bootstrap(settings.get());
        } catch (IOException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return ExitCode.REFUSED;
        }
        spec.commandLine()
                .getOut()
                .println("host " + settings.get().host() + " is the first voter; data folder "
                        + settings.get().dataFolder());
        return ExitCode.OK;
    }
}
