package org.elmline.cli.explain;

import java.nio.file.Path;
import java.util.List;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints when requests were lost, and why, from the logs of entries. */
@Command(name = "losses", description = "Counts from logs, by time, which requests were not answered and why.")
final class LossesCommand implements ExitingCommand {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--window-seconds",
            paramLabel = "S",
            defaultValue = "2",
            description = "length of a line's window, default ${DEFAULT-VALUE}")
    private int windowSeconds;

    @Parameters(index = "0..*", arity = "1..*", paramLabel = "FILE", description = "logs of any number of entries")
    private List<Path> files;

    @Override
    public ExitCode execute() {
        if (windowSeconds < 1) {
            spec.commandLine().getErr().println("--window-seconds must be at least 1");
            return ExitCode.INVALID;
        }
        LossTable table = new LossTable(windowSeconds * MILLIS_PER_SECOND);
        ExitCode readResult = LogFileReader.read(files, spec.commandLine(), table::add);
        if (readResult != ExitCode.OK) {
            return readResult;
        }
        List<String> tableLines = table.format();
        tableLines.forEach(spec.commandLine().getOut()::println);
        if (tableLines.isEmpty()) {
            spec.commandLine().getErr().println("no line names a request");
            return ExitCode.NOT_FOUND;
        }
        return ExitCode.OK;
    }
}
