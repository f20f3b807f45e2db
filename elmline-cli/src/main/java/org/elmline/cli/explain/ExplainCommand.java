package org.elmline.cli.explain;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the log lines that concern one request. */
@Command(name = "explain", description = "Tells from logs what became of a request, with the inputs of each decision.")
final class ExplainCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "REQUEST", description = "id of the request, as its caller sent it")
    private String request;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "logs of any number of processes")
    private List<Path> files;

    @Override
    public ExitCode execute() {
        RequestTrace trace = new RequestTrace(request);
        ExitCode readResult = LogFileReader.read(files, spec.commandLine(), trace::add);
        if (readResult != ExitCode.OK) {
            return readResult;
        }
        PrintWriter out = spec.commandLine().getOut();
        List<String> traceLines = trace.format();
        traceLines.forEach(out::println);
        if (traceLines.isEmpty()) {
            spec.commandLine().getErr().println("no line names the request " + request);
            return ExitCode.NOT_FOUND;
        }
        return ExitCode.OK;
    }
}
