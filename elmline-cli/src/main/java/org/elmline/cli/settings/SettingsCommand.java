package org.elmline.cli.settings;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Groups the commands on settings files. */
@Command(
        name = "settings",
        description = "Checks settings files and lists all settings.",
        subcommands = {SettingsCheckCommand.class, SettingsReferenceCommand.class})
final class SettingsCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name a subcommand");
    }
}
