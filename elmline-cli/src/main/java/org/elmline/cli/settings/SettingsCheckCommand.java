package org.elmline.cli.settings;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.daemon.settings.KeyFileMode;
import org.elmline.daemon.settings.SettingsProblem;
import org.elmline.daemon.settings.SettingsReader;
import org.elmline.daemon.settings.SettingsResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks settings files as a start of the process would, without starting it. */
@Command(name = "check", description = "Checks settings files and names every problem by its path.")
final class SettingsCheckCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "settings files, JSON")
    private List<Path> files;

    @Option(names = "--skip-key-files", description = "do not open key files; for checking on another machine")
    private boolean skipKeyFiles;

    @Override
    public ExitCode execute() {
        SettingsReader reader = new SettingsReader(skipKeyFiles ? KeyFileMode.SKIP : KeyFileMode.READ);
        ExitCode code = ExitCode.OK;
        for (Path file : files) {
            if (!check(reader, file)) {
                code = ExitCode.INVALID;
            }
        }
        return code;
    }

    private boolean check(SettingsReader reader, Path file) {
        PrintWriter out = spec.commandLine().getOut();
        SettingsResult result = reader.read(file);
        if (result instanceof SettingsResult.Valid valid) {
            out.println(file + ": valid, role " + valid.settings().role().settingValue());
            return true;
        }
        for (SettingsProblem problem : ((SettingsResult.Invalid) result).problems()) {
            out.println(file + ": " + problem);
        }
        return false;
    }
}
