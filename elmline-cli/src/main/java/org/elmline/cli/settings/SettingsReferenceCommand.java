package org.elmline.cli.settings;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.daemon.settings.SettingsReference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the reference of all settings. */
@Command(name = "reference", description = "Prints all settings with their values and defaults, in Markdown.")
final class SettingsReferenceCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Override
    public ExitCode execute() {
        spec.commandLine().getOut().print(new SettingsReference().markdown());
        spec.commandLine().getOut().flush();
        return ExitCode.OK;
    }
}
