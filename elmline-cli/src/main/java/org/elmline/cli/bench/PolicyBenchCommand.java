package org.elmline.cli.bench;

import java.io.PrintWriter;
import java.nio.file.Path;

import org.elmline.bench.policy.PolicyBench;
import org.elmline.bench.policy.PolicyOptions;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures every placement variant on a manual clock. */
@Command(
        name = "policy",
        description = "Compares placement policies under load and faults; same figures on any machine.")
final class PolicyBenchCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Option(names = "--full", description = "both fleets, all loads and faults: minutes; without it one point")
    private boolean full;

    @Option(names = "--output", paramLabel = "DIR", description = "folder for tables and plots, with --full")
    private Path output;

    @Override
    public ExitCode execute() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        new PolicyBench().run(full ? PolicyOptions.full(output) : PolicyOptions.quick(), out);
        out.flush();
        return ExitCode.OK;
    }
}
