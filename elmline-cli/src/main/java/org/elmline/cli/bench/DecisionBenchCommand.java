package org.elmline.cli.bench;

import java.io.PrintWriter;
import java.util.List;

import org.elmline.bench.policy.DecisionCost;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of one placement decision. */
@Command(name = "decision", description = "Times one placement decision by number of replicas.")
final class DecisionBenchCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--replicas",
            split = ",",
            defaultValue = "20,200,2000,6000",
            description = "numbers of replicas; default: ${DEFAULT-VALUE}")
    private List<Integer> replicas;

    @Override
    public ExitCode execute() {
        PrintWriter out = spec.commandLine().getOut();
        new DecisionCost().run(replicas, out);
        out.flush();
        return ExitCode.OK;
    }
}
